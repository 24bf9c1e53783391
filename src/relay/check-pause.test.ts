import test from 'ava';
import {checkPauseMs} from './check-pause.js';

test('a front checks quickly while no decider answers, for a bounded number of checks', t => {
	t.is(checkPauseMs({isReady: true, quickChecks: 0}), 1000);
	t.is(checkPauseMs({isReady: false, quickChecks: 39}), 250);
	t.is(checkPauseMs({isReady: false, quickChecks: 40}), 1000);
});
