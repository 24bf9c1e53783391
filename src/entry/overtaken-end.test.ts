import test from 'ava';
import {ownerByRendezvous} from '../cluster/rendezvous.js';
import {type Step} from '../cluster/workflow.js';
import {
	AgentSite, demand, entryAddresses, taskId, vmId,
} from './agent-site-fixture.js';

/** The users' platform allows 3 s without a run; for a task that lasts they count from 6 s after its end. */
const cases: ReadonlyArray<Readonly<{name: string; step: Partial<Step>; phase: 'failed' | 'checkpointed' | 'stopped'; withinMs: number}>> = [
	{
		name: 'a task that lasts and failed', step: {longRunning: true}, phase: 'failed', withinMs: 9000,
	},
	{
		name: 'a task that lasts and stopped', step: {longRunning: true}, phase: 'stopped', withinMs: 9000,
	},
	{
		name: 'a task of a step that failed', step: {}, phase: 'failed', withinMs: 3000,
	},
	{
		name: 'a task of a step that stopped with a checkpoint', step: {checkpoints: true}, phase: 'checkpointed', withinMs: 3000,
	},
];

for (const {name, step, phase, withinMs} of cases) {
	test(`${name} runs again although a registration overtook its end`, t => {
		const site = new AgentSite();
		const relay = site.entries.find(({address}) => address === ownerByRendezvous(entryAddresses, vmId))!;
		const other = site.entries.find(entry => entry !== relay)!;
		site.submitJob(other, step);
		site.list(1, []);
		site.advance(5000);
		t.deepEqual(site.starts, [1]);

		// The end goes through one entry, and the registration that follows it through the other one, which is first in the log.
		site.list(2, [{
			taskId, attempt: 1, phase, limit: demand, latencyCritical: false, checkpoint: '', reason: 'ended',
		}]);
		const end = relay.inbox.findIndex(({kind}) => kind === 'agent-task-events');
		t.is(end, 0);
		site.runEntry(other);
		const behind = relay.inbox.splice(1);
		site.runEntry(relay);
		relay.inbox.push(...behind);
		site.advance(withinMs);
		t.deepEqual(site.starts, [1, 2]);
	});
}
