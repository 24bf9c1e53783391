import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {emptyStateFixture, vmFixture} from '../operator/state-fixture.js';
import {
	type FillingLimit, type FillingSupplySums, initialFillingLimit, minFillingLimitMilli, nextFillingLimit,
} from './filling-limit.js';
import {
	noFillingLimits, updateFillingLimits, withFillingQueue, withFillingSupply,
} from './filling-limits.js';

const supplied: FillingSupplySums = {
	runningMilli: 700_000, demandMilli: 700_000, waitingMilli: 0, suppliedMilli: 650_000, servingTasks: 500, impairedServingTasks: 2,
};
const maxLimitMilli = 1000;

/** Returns the limits of evaluations every 100 ms for the given time. */
function simulate(start: FillingLimit, sums: FillingSupplySums, forMs: number, isHoldingBack = true): readonly FillingLimit[] {
	const limits = [start];
	for (let nowMs = 0; nowMs < forMs; nowMs += 100) {
		limits.push(nextFillingLimit(limits.at(-1)!, sums, {isHoldingBack, maxLimitMilli, nowMs}));
	}

	return limits;
}

const risen: FillingLimit = {...initialFillingLimit, limitMilli: maxLimitMilli};

test('the limit rises in bounded steps to the maximum while filling tasks get what they demand', t => {
	const limits = simulate(initialFillingLimit, supplied, 10_000);
	t.is(limits.at(-1)!.limitMilli, maxLimitMilli);
	t.true(limits[10]!.limitMilli <= minFillingLimitMilli + 100, 'at most 100 thousandths a second');
});

/** Guards against a limit that stays high after a burst has saturated the VMs, at which all jobs end late. */
test('the limit falls to a quarter of its rise within a second when filling tasks are short or wait, or serving tasks are impaired, and never below the minimum', t => {
	for (const sums of [{...supplied, suppliedMilli: 350_000}, {...supplied, waitingMilli: 100_000}, {...supplied, impairedServingTasks: 30}]) {
		t.true(simulate(risen, sums, 1100).at(-1)!.limitMilli <= 700);
		t.is(simulate(risen, sums, 20_000).at(-1)!.limitMilli, minFillingLimitMilli);
	}
});

test('the limit stays when no job is held back, and when the reports cover too little of the demand, as with agents of an earlier version', t => {
	t.is(simulate(initialFillingLimit, supplied, 5000, false).at(-1)!.limitMilli, minFillingLimitMilli);
	t.is(simulate(initialFillingLimit, {...supplied, runningMilli: 2_000_000}, 5000).at(-1)!.limitMilli, minFillingLimitMilli);
	t.is(simulate(initialFillingLimit, {...supplied, demandMilli: 0}, 5000).at(-1)!.limitMilli, minFillingLimitMilli);
});

test('the limit of a service does not follow the reports of another one, and a closed stream takes its report away', t => {
	const vms = [{...vmFixture, vmId: 'a', service: 'a'}, {...vmFixture, vmId: 'b', service: 'b'}];
	const cluster = {...emptyStateFixture, vms: immutableMap(vms.map(vm => [vm.vmId, vm]))};
	const report = {
		demandMilli: 4000, allowedMilli: 4000, usedShareMilli: 1000, servingTasks: 4, impairedServingTasks: 0,
	};
	const held = withFillingQueue(withFillingSupply(withFillingSupply(noFillingLimits, 'a', report), 'b', {...report, allowedMilli: 1000}), 'a', {waitingMilli: 0, isHoldingBack: true});
	const {limits, effects} = updateFillingLimits(withFillingQueue(held, 'b', {waitingMilli: 0, isHoldingBack: true}), {
		vms, cluster, maxLimitMilli, nowMs: 0,
	});
	t.deepEqual([limits.byService.get('a')!.limitMilli, limits.byService.get('b')!.limitMilli], [650, 600]);
	t.is(effects.length, 1);
	t.is(withFillingSupply(limits, 'a', undefined).supplyByVm.size, 1);
});
