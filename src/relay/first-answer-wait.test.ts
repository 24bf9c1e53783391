import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {createFirstAnswerWait} from './first-answer-wait.js';

/** Guards against calls that pile up at a front without deciders, and against waits long after its start. */
test('calls wait for the first answer only after the start, and only a bounded number of them', async t => {
	let nowMs = 0;
	const {wait, recordAnswer} = createFirstAnswerWait({nowMs: () => nowMs});
	let ended = 0;
	const waits = Array.from({length: 65}, async () => {
		await wait();
		ended++;
	});
	await delay(0);
	t.is(ended, 1, 'the 65th call does not wait');
	nowMs = 5000;
	t.false(await wait(), 'long after the start, no call waits');
	t.is(ended, 1);
	recordAnswer();
	await Promise.all(waits);
	t.is(ended, 65);
	t.true(await wait());
});

test('a stop ends the waits', async t => {
	const {wait, close} = createFirstAnswerWait({nowMs: () => 0});
	const waited = wait();
	close();
	t.false(await waited);
});
