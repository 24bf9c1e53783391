import test from 'ava';
import {type WorkerTask} from '../worker/worker-api.js';
import {AgentSite, demand, taskId} from './agent-site-fixture.js';

const running = (id: string): WorkerTask => ({
	taskId: id, attempt: 1, phase: 'running', limit: demand, latencyCritical: false, checkpoint: '', reason: '',
});

/** Guards against stops of tasks that nobody cancelled, by an entry that has just started or that the store turns away. */
test('an entry that has not read the claim of a running task does not stop it', t => {
	const site = new AgentSite();
	const [reader, behind] = site.entries;
	site.connectAgent();
	site.list(1, []);
	site.advance(3000);
	site.submitJob(reader!);
	site.advance(3000, [reader!]);
	t.deepEqual(site.starts, [1]);
	site.list(1, [running(taskId)]);

	// The hello reaches the entry before it reads the log on.
	site.toAgent('entry-connected', {entryAddress: behind!.address});
	site.runEntry(behind!);
	site.advance(3000);
	t.deepEqual(site.stops, []);
});

/** Guards against runs that go on although the log gave the task to another VM. */
test('a running task without a claim is stopped by an entry that has read the log since the hello', t => {
	const site = new AgentSite();
	site.connectAgent();
	site.list(1, [running('unclaimed')]);
	site.advance(3000);
	t.true(site.stops.includes('unclaimed'));
});
