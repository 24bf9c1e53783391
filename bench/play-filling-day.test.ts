import test from 'ava';
import {type FillingSite, fillingSites} from './filling-site.js';
import {type FillingResult, playFillingDay} from './play-filling-day.js';

/** Minimum share of their value that filling jobs gain on the grown site, and maximum share of the time that filling work keeps serving tasks beyond their targets. */
const minFillingEarned = 0.18;
const maxServingLost = 0.03;

const withoutInterference = (site: FillingSite): FillingSite => ({...site, interference: {...site.interference, heavyShare: 0, light: [0, 0]}});

function meanOfRuns(site: FillingSite, seeds: number): (name: keyof FillingResult) => number {
	const results = Array.from({length: seeds}, (_, index) => playFillingDay(site, index + 1));
	return name => results.reduce((sum, result) => sum + result[name], 0) / seeds;
}

test('a seed always gives the same result of the simulation', t => {
	t.deepEqual(playFillingDay(fillingSites.small, 3), playFillingDay(fillingSites.small, 3));
});

test('without interference filling work gains value and keeps no serving task beyond its target', t => {
	const result = playFillingDay(withoutInterference(fillingSites.small), 2);
	t.is(result.lostSeconds, 0);
	t.true(result.overSeconds > 0, 'latency spikes that filling work does not cause remain');
	t.true(result.servingEarned > 0.8);
	t.true(result.fillingEarned > 0);
});

test('filling work finishes in time when serving tasks commit few processors', t => {
	const {serving, filling} = fillingSites.small;
	const result = playFillingDay({
		...withoutInterference(fillingSites.small), serving: {...serving, maxCommittedShare: 0.2}, filling: {...filling, jobsPerSecond: 0.2},
	}, 2);
	t.true(result.fillingEarned > 0.95, `share of the value gained: ${result.fillingEarned}`);
	t.is(result.finishedJobs, result.fillingJobs);
});

/** Guards against filling work that gets only the few processors that serving tasks leave uncommitted, instead of all that are idle. */
test('filling work gains its share of the value beside serving tasks that commit most processors, and rarely keeps them beyond their targets', t => {
	const meanOf = meanOfRuns(fillingSites.grown, 5);
	t.true(meanOf('fillingEarned') >= minFillingEarned, `share of the value that filling jobs gained: ${meanOf('fillingEarned')}`);
	t.true(meanOf('servingLost') < maxServingLost, `share of the time that serving tasks were beyond their targets because of filling work: ${meanOf('servingLost')}`);
	t.is(meanOf('brokenRules'), 0);
});
