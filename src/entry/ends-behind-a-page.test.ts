import test from 'ava';
import {taskIdOf} from '../cluster/workflow.js';
import {type WorkerTask} from '../worker/worker-api.js';
import {AgentSite, demand} from './agent-site-fixture.js';

const finished = (index: number): WorkerTask => ({
	taskId: taskIdOf('job', {occurrence: 0, stepIndex: 0}, index), attempt: 1, phase: 'finished', limit: demand, latencyCritical: false, checkpoint: '', reason: 'done',
});

/** Guards against a second run of tasks that finished, since the registration of an agent frees every task that it does not name. */
test('an agent that starts while the worker lists only some of its ends registers once it knows them all', t => {
	const site = new AgentSite();
	site.submitJob(site.entries[0]!, {count: 3});
	site.list(1, []);
	site.advance(5000);
	t.deepEqual(site.starts, [1, 1, 1]);

	site.restartAgent();
	// The worker lists one end at a time, and the next one once that is acknowledged.
	for (const index of [0, 1]) {
		site.list(1, [finished(index)], 'some');
		site.advance(1000);
		site.list(1, [finished(index)], 'some');
	}

	site.list(1, [finished(2)]);
	site.advance(5000);
	t.deepEqual(site.starts, [1, 1, 1]);
	for (const {state: {cluster}} of site.entries) {
		t.is(cluster.finishedWorkflows.get('job')?.phase, 'completed');
	}
});
