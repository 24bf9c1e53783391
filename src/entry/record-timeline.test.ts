import test from 'ava';
import {emptyStateFixture} from '../operator/state-fixture.js';
import {createTimeline} from '../telemetry/create-timeline.js';
import {mergeTimelines} from '../telemetry/merge-timelines.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {recordTimeline} from './record-timeline.js';

const decision = {
	policy: 'p', seed: 1, stateOffset: 0, candidates: [], consideredVms: 0, reason: '',
};

const claimed = (offset: number, attempt: number, vmId: string): LoggedRecord => ({
	offset,
	envelope: {
		writer: 'e', incarnation: 'i', sequence: offset, record: {
			kind: 'task-claimed', taskId: 't1', attempt, vmId, agentIncarnation: 'a', committed: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, evictTaskIds: [], decision,
		},
	},
});

test('an agent\'s events follow the claim for their VM although its clock is behind and it reports a low offset', t => {
	const entry = createTimeline({process: 'entry', nowMs: () => 10_000});
	const records = [claimed(5, 1, 'vm-1'), claimed(9, 2, 'vm-2')];
	for (const effect of recordTimeline(records, emptyStateFixture, emptyStateFixture, 'i')) {
		if (effect.kind === 'record-timeline') {
			entry.record(effect.entry);
		}
	}

	const agentEvents = ['vm-1', 'vm-2'].flatMap(vmId => {
		const agent = createTimeline({process: `agent/${vmId}`, nowMs: () => 1});
		for (const event of ['task-started', 'task-checkpointed']) {
			agent.record({
				event, offset: 0, taskId: 't1', vmId, cause: 't1',
			});
		}

		return agent.read();
	});
	const merged = mergeTimelines([agentEvents, entry.read()]).map(({event, vmId}) => `${event} ${vmId}`);
	t.deepEqual(merged, [
		'task-claimed vm-1', 'task-started vm-1', 'task-checkpointed vm-1', 'task-claimed vm-2', 'task-started vm-2', 'task-checkpointed vm-2',
	]);
});
