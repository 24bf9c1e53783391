import test from 'ava';
import {drawFillingDay, fillingSites} from './filling-site.js';

const seeds = Array.from({length: 40}, (_, index) => index);

test('a seed always draws the same day', t => {
	t.deepEqual(drawFillingDay(fillingSites.small, 5).jobs, drawFillingDay(fillingSites.small, 5).jobs);
	t.notDeepEqual(drawFillingDay(fillingSites.small, 5).jobs, drawFillingDay(fillingSites.small, 6).jobs);
});

/** Guards against two versions of the code that are compared on different days. */
test('another load of filling jobs leaves serving and small jobs and the interference as they were', t => {
	const site = fillingSites.small;
	const before = drawFillingDay(site, 5);
	const after = drawFillingDay({...site, filling: {...site.filling, jobsPerSecond: 2}}, 5);
	const others = (day: typeof before) => day.jobs.filter(({kind}) => kind !== 'filling');
	t.deepEqual(others(after), others(before));
	t.is(after.pressAt('serve-1', 'fill-3', 7000), before.pressAt('serve-1', 'fill-3', 7000));
	t.is(after.loadAt('serving-2', 7000), before.loadAt('serving-2', 7000));
});

test('days have the load that the site describes', t => {
	const {filling, serving, vmProcessors, arrivalsMs, press} = fillingSites.small;
	const days = seeds.map(seed => drawFillingDay(fillingSites.small, seed));
	const steps = days.flatMap(({jobs}) => jobs.filter(({kind}) => kind === 'filling').flatMap(job => job.steps));
	const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
	const expectedJobs = filling.jobsAtStart + (filling.jobsPerSecond * (arrivalsMs + ((filling.burstFactor - 1) * filling.burstMs)) / 1000);
	t.true(Math.abs((steps.length / filling.steps / seeds.length) - expectedJobs) < 0.1 * expectedJobs);
	t.true(Math.abs(mean(steps.map(({demand}) => demand.processorsMilli)) - 1800) < 100);
	t.true(Math.abs(mean(steps.map(({declaredRunTimeMs}) => declaredRunTimeMs)) - 3900) < 200);
	for (const {jobs} of days) {
		const committedMilli = jobs.filter(({kind}) => kind === 'serving').flatMap(job => job.steps).reduce((sum, {count, demand}) => sum + (count * demand.processorsMilli), 0);
		t.true(committedMilli <= (1000 * serving.filledShare * vmProcessors.reduce((sum, processors) => sum + processors, 0)) + 100);
	}

	const pairs = days.flatMap(({pressAt}) => Array.from({length: serving.images}, (_, index) => pressAt(`serve-${index}`, 'fill-0', 0)));
	const heavyShare = pairs.filter(each => each > 0.05).length / pairs.length;
	t.true(Math.abs(heavyShare - press.heavyShare) < 0.06, `${heavyShare} of the pairs are heavy`);
});
