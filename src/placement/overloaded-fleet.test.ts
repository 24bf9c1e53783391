import test from 'ava';
import {OverloadedFleet} from './overloaded-fleet.js';

const seeds = Array.from({length: 40}, (_, index) => index + 1);

/** A long-running task must run again within 9 s of its last run; part of that time is needed to detect its end and to start it. */
const maxWaitMs = 4000;
const simulatedMs = 20_000;

/** Returns the longest wait over all seeds of the task that `act` leaves queued during the overload. */
function longestWaitMs(act: (fleet: OverloadedFleet) => string): number {
	return Math.max(...seeds.map(seed => {
		const fleet = new OverloadedFleet(seed);
		fleet.simulate(2000);
		return fleet.simulate(simulatedMs, act(fleet));
	}));
}

test('a large long-running task that loses its VM during an overload of small tasks is claimed again in time', t => {
	const waitMs = longestWaitMs(fleet => {
		const taskId = fleet.largestMovableTaskId();
		const {vmId, agentIncarnation} = fleet.cluster.tasks.get(taskId)!.claim!;
		fleet.apply({kind: 'vm-leaving', vmId, agentIncarnation});
		fleet.end(taskId, 'failed');
		return taskId;
	});
	t.true(waitMs <= maxWaitMs, `${waitMs} ms`);
});

test('the large first task of a long-running job is claimed in time during an overload of small tasks', t => {
	const waitMs = longestWaitMs(fleet => `${fleet.submit({longRunning: true, processorsMilli: 6400})}.0.0.0`);
	t.true(waitMs <= maxWaitMs, `${waitMs} ms`);
});
