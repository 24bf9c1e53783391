import test from 'ava';
import {drawFillingDay, fillingSites} from './filling-site.js';

const seeds = Array.from({length: 40}, (_, index) => index);

test('a seed always draws the same jobs', t => {
	t.deepEqual(drawFillingDay(fillingSites.small, 5).jobs, drawFillingDay(fillingSites.small, 5).jobs);
	t.notDeepEqual(drawFillingDay(fillingSites.small, 5).jobs, drawFillingDay(fillingSites.small, 6).jobs);
});

/** Guards against a comparison of two versions of the code on different input. */
test('another arrival rate of filling jobs leaves serving jobs, small jobs, load and interference unchanged', t => {
	const site = fillingSites.small;
	const before = drawFillingDay(site, 5);
	const after = drawFillingDay({...site, filling: {...site.filling, jobsPerSecond: 2}}, 5);
	const others = (input: typeof before) => input.jobs.filter(({kind}) => kind !== 'filling');
	t.deepEqual(others(after), others(before));
	t.is(after.interferenceAt('serve-1', 'fill-3', 7000), before.interferenceAt('serve-1', 'fill-3', 7000));
	t.is(after.loadAt('serving-2', 7000), before.loadAt('serving-2', 7000));
});

test('the drawn jobs and interference have the means that the site describes', t => {
	const {filling, serving, vmProcessors, arrivalsMs, interference} = fillingSites.small;
	const inputs = seeds.map(seed => drawFillingDay(fillingSites.small, seed));
	const steps = inputs.flatMap(({jobs}) => jobs.filter(({kind}) => kind === 'filling').flatMap(job => job.steps));
	const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
	const expectedJobs = filling.jobsAtStart + (filling.jobsPerSecond * (arrivalsMs + ((filling.burstFactor - 1) * filling.burstMs)) / 1000);
	t.true(Math.abs((steps.length / filling.steps / seeds.length) - expectedJobs) < 0.1 * expectedJobs);
	t.true(Math.abs(mean(steps.map(({demand}) => demand.processorsMilli)) - 1800) < 100);
	t.true(Math.abs(mean(steps.map(({declaredRunTimeMs}) => declaredRunTimeMs)) - 3900) < 200);
	for (const {jobs} of inputs) {
		const committedMilli = jobs.filter(({kind}) => kind === 'serving').flatMap(job => job.steps).reduce((sum, {count, demand}) => sum + (count * demand.processorsMilli), 0);
		t.true(committedMilli <= (1000 * serving.maxCommittedShare * vmProcessors.reduce((sum, processors) => sum + processors, 0)) + 100);
	}

	const pairInterferences = inputs.flatMap(({interferenceAt}) => Array.from({length: serving.images}, (_, index) => interferenceAt(`serve-${index}`, 'fill-0', 0)));
	const heavyShare = pairInterferences.filter(each => each > 0.05).length / pairInterferences.length;
	t.true(Math.abs(heavyShare - interference.heavyShare) < 0.06, `${heavyShare} of the pairs are heavy`);
});
