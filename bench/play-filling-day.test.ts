import test from 'ava';
import {type FillingSite, fillingSites} from './filling-site.js';
import {type FillingResult, playFillingDay} from './play-filling-day.js';

/** What filling jobs earn at least of what they are owed on a quiet day of the grown site, and the time that serving tasks may lose. */
const fillingFloor = 0.18;
const servingLossBound = 0.03;

const withoutInterference = (site: FillingSite): FillingSite => ({...site, press: {...site.press, heavyShare: 0, light: [0, 0]}});

function playDays(site: FillingSite, seeds: number): (name: keyof FillingResult) => number {
	const results = Array.from({length: seeds}, (_, index) => playFillingDay(site, index + 1));
	return name => results.reduce((sum, result) => sum + result[name], 0) / seeds;
}

test('a day is played the same each time', t => {
	t.deepEqual(playFillingDay(fillingSites.small, 3), playFillingDay(fillingSites.small, 3));
});

test('without interference filling work costs serving tasks nothing and is not slowed', t => {
	const result = playFillingDay(withoutInterference(fillingSites.small), 2);
	t.is(result.lostSeconds, 0);
	t.true(result.overSeconds > 0, 'excursions of their own remain');
	t.true(result.servingEarned > 0.8);
	t.true(result.fillingEarned > 0);
});

test('filling work beside few serving tasks is done in time', t => {
	const {serving, filling} = fillingSites.small;
	const result = playFillingDay({
		...withoutInterference(fillingSites.small), serving: {...serving, filledShare: 0.2}, filling: {...filling, jobsPerSecond: 0.2},
	}, 2);
	t.true(result.fillingEarned > 0.95, `${result.fillingEarned} earned`);
	t.is(result.finishedJobs, result.fillingJobs);
});

/** Guards against filling work that gets only the processors that serving tasks leave uncommitted, which are hardly any. */
test('filling work beside serving tasks that commit most processors earns its share and costs them little', t => {
	const meanOf = playDays(fillingSites.grown, 5);
	t.true(meanOf('fillingEarned') >= fillingFloor, `filling jobs earned ${meanOf('fillingEarned')}`);
	t.true(meanOf('servingLost') < servingLossBound, `serving tasks lost ${meanOf('servingLost')}`);
	t.is(meanOf('brokenRules'), 0);
});
