import {type ClusterRecord} from './cluster-record.js';
import {type ClusterState} from './cluster-state.js';
import {encodeClusterState} from './cluster-state-codec.js';
import {type PriorityClass} from './intent.js';
import {applyRecord, emptyClusterState} from './reduce-cluster.js';
import {type Step, type Workflow} from './workflow.js';

const decision = {
	policy: 'test', seed: 1, stateOffset: 0, candidates: [], consideredVms: 1, reason: 'test',
};

/** For tests: returns a step of one small task, with changes. */
export const workflowStep = (changes: Partial<Step> = {}): Step => ({
	count: 1, demand: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: 1000, ...changes,
});

/** For tests: returns the number of queued tasks of all classes. */
export function queuedTaskCount({queued}: ClusterState): number {
	return queued.reduce((sum, queue) => sum + queue.size, 0);
}

/** For tests: a log of one entry and one VM with room for every task, whose records are applied as they are appended. */
export class WorkflowLog {
	state: ClusterState = emptyClusterState;
	#sequence = 0;

	constructor() {
		this.append({
			kind: 'entry-registered', entryId: 'e', failureDomain: 'a', operatorAddress: '127.0.0.1:1',
		});
		this.append({
			kind: 'vm-registered',
			vmId: 'vm-1',
			agentIncarnation: 'agent-1',
			workerIncarnation: 'w1',
			failureDomain: 'a',
			rack: 'r1',
			requestAddress: '127.0.0.1:2',
			capacity: {processorsMilli: 1_000_000, memoryMb: 1_000_000, accelerators: 0},
			runningTasks: [],
			service: 'loaves',
		});
	}

	append(record: ClusterRecord): this {
		this.#sequence++;
		this.state = applyRecord(this.state, {
			offset: this.state.offset + 1,
			envelope: {
				writer: 'e', incarnation: 'i', sequence: this.#sequence, record,
			},
		});
		return this;
	}

	/** Returns a log that goes on from another state with the same sequence. */
	copy(state: ClusterState): WorkflowLog {
		const log = new WorkflowLog();
		log.state = state;
		log.#sequence = this.#sequence;
		return log;
	}

	submit(jobId: string, steps: readonly Step[], changes: Partial<Workflow> = {}, priority: PriorityClass = 'normal'): this {
		return this.append({
			kind: 'job-submitted',
			job: {
				jobId,
				teamId: 'team',
				workClass: 'batch',
				priority,
				tasks: [],
				workflow: {
					queue: 'queue', service: 'loaves', payload: '', steps, maxFailures: 2, ...changes,
				},
			},
		});
	}

	/** Claims the next attempt of a task, also of one that the state does not hold. */
	claim(taskId: string): this {
		const task = this.state.tasks.get(taskId);
		return this.append({
			kind: 'task-claimed',
			taskId,
			attempt: (task?.attempt ?? 0) + 1,
			vmId: 'vm-1',
			agentIncarnation: 'agent-1',
			committed: task?.spec.demand ?? workflowStep().demand,
			evictTaskIds: [],
			decision,
		});
	}

	finish(taskId: string): this {
		return this.append({
			kind: 'task-ended', taskId, attempt: this.state.tasks.get(taskId)?.attempt ?? 1, agentIncarnation: 'agent-1', outcome: 'finished', reason: '',
		});
	}

	queuedTaskIds(): readonly string[] {
		return [...this.state.queued.get('normal')!.keys()];
	}

	encodedBytes(): number {
		return JSON.stringify(encodeClusterState(this.state)).length;
	}
}
