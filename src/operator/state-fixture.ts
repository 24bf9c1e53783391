/* eslint-disable new-cap -- The collections of immutable are made by calls without `new`. */
import {Set as ImmutableSet} from 'immutable';
import {type PlacementDecision} from '../cluster/cluster-record.js';
import {
	type BackendServer, type ClusterState, type Task, type Vm,
} from '../cluster/cluster-state.js';
import {type Plan} from '../cluster/intent.js';
import {emptyClusterState} from '../cluster/reduce-cluster.js';
import {noResources} from '../cluster/resources.js';

/** A cluster state without members, for tests. */
export const emptyStateFixture: ClusterState = emptyClusterState;

/** A live VM of 16 cores, for tests. */
export const vmFixture: Vm = {
	vmId: 'vm-1',
	agentIncarnation: 'agent-1',
	formerAgentIncarnations: [],
	workerIncarnation: 'worker-1',
	failureDomain: 'Kambalda',
	rack: 'rack-1',
	requestAddress: '127.0.0.1:9000',
	capacity: {processorsMilli: 16_000, memoryMb: 60_000, accelerators: 0},
	committed: {processorsMilli: 4000, memoryMb: 10_000, accelerators: 0},
	phase: 'live',
	draining: false,
	leaving: false,
	workerLost: false,
	quarantined: false,
	service: '',
	labels: [],
	workerStartedAtMs: 0,
	heardBy: ImmutableSet(['entry-1']),
	contact: {isBounded: true},
	taskIds: ImmutableSet(['task-1']),
	backendServerIds: ImmutableSet(),
	waitingTaskIds: [],
	waitingBackendServerIds: [],
};

/** A serving backend server, for tests. */
export const backendServerFixture: BackendServer = {
	backendServerId: 'b1',
	service: 'loaf-ordering',
	vmId: 'vm-1',
	agentIncarnation: 'agent-1',
	slots: 8,
	connections: 64,
	phase: 'serving',
	draining: false,
	committed: noResources,
};

/** A placement decision with two candidates, for tests. */
export const decisionFixture: PlacementDecision = {
	policy: 'least-harm',
	seed: 7,
	stateOffset: 11,
	candidates: [
		{
			vmId: 'vm-1', scoreMilli: 120, harmMilli: 40, room: {processorsMilli: 12_000, memoryMb: 50_000, accelerators: 0}, inputs: {serviceHarmMilli: 40},
		},
		{
			vmId: 'vm-2', scoreMilli: 300, harmMilli: 210, room: {processorsMilli: 2000, memoryMb: 9000, accelerators: 0}, inputs: {serviceHarmMilli: 210},
		},
	],
	consideredVms: 2,
	reason: 'least harm to loaf-ordering',
};

/** A running task, for tests. */
export const taskFixture: Task = {
	spec: {
		taskId: 'task-1', demand: {processorsMilli: 2000, memoryMb: 1024, accelerators: 0}, declaredRunTimeMs: 60_000, payload: '',
	},
	position: undefined,
	jobId: 'job-1',
	teamId: 'team-7',
	workClass: 'batch',
	priority: 'background',
	phase: 'running',
	attempt: 2,
	claim: {
		vmId: 'vm-1',
		agentIncarnation: 'agent-1',
		claimOffset: 12,
		writerIncarnation: 'entry-1',
		committed: {processorsMilli: 2000, memoryMb: 1024, accelerators: 0},
		counted: true,
		evictTaskIds: [],
		decision: decisionFixture,
	},
	checkpoint: 'c1',
	failures: 0,
	evictions: 1,
	failedOnVmIds: [],
	submittedOffset: 3,
	changedOffset: 13,
	reason: '',
};

/** A plan that drains a VM, for tests. */
export const planFixture: Plan = {
	planId: 'plan-1',
	intent: {kind: 'drain-vm', vmId: 'vm-1'},
	baseOffset: 20,
	touches: ['vm/vm-1'],
	summary: ['1 task is checkpointed and placed anew'],
	createdAtMs: 0,
	expiresAtMs: 60_000,
};
