import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {type ClusterRecord, type PlacementDecision} from '../src/cluster/cluster-record.js';
import {type ClusterState} from '../src/cluster/cluster-state.js';
import {type Intent, type Job} from '../src/cluster/intent.js';
import {applyRecord, emptyClusterState} from '../src/cluster/reduce-cluster.js';
import {
	fitsInto, type Resources, subtractResources,
} from '../src/cluster/resources.js';

/** Number of VMs, accelerators, tasks and teams of a synthetic fleet. */
export type FleetSize = Readonly<{
	vms: number;
	accelerators: number;
	latencyCriticalTasks: number;
	batchTasks: number;
	teams: number;
}>;

/** Size expected in two years, from section 1 of the design page. */
export const designSize: FleetSize = {
	vms: 1400, accelerators: 1600, latencyCriticalTasks: 6100, batchTasks: 31_000, teams: 670,
};

/**
Returns a share of the design size, in whole numbers.

@example
shareOfDesignSize(0.1).vms; // => 140
*/
export function shareOfDesignSize(share: number): FleetSize {
	return {
		vms: Math.round(designSize.vms * share),
		accelerators: Math.round(designSize.accelerators * share),
		latencyCriticalTasks: Math.round(designSize.latencyCriticalTasks * share),
		batchTasks: Math.round(designSize.batchTasks * share),
		teams: Math.max(1, Math.round(designSize.teams * share)),
	};
}

/** A log in memory that applies each record as it is appended. */
export type FleetLog = Readonly<{
	state: () => ClusterState;
	append: (record: ClusterRecord) => void;
	/** Appends records and returns the mean microseconds per record; NaN without records. */
	appendTimed: (records: readonly ClusterRecord[]) => number;
}>;

/**
Creates a log in memory that starts from the given state.

@example
const log = createFleetLog(emptyClusterState, 'incarnation-1', 1);
*/
export function createFleetLog(initial: ClusterState, incarnation: string, firstSequence: number): FleetLog {
	let state = initial;
	let sequence = firstSequence - 1;
	function append(record: ClusterRecord): void {
		sequence++;
		state = applyRecord(state, {
			offset: state.offset + 1,
			envelope: {
				writer: incarnation, incarnation, sequence, record,
			},
		});
	}

	return {
		state: () => state,
		append,
		appendTimed(records) {
			const startMs = performance.now();
			for (const record of records) {
				append(record);
			}

			return records.length === 0 ? Number.NaN : (1000 * (performance.now() - startMs)) / records.length;
		},
	};
}

const tasksPerJob = 10;
const services = 50;
const failureDomains = 11;
const vmsPerRack = 24;
const acceleratorsPerVm = 4;
/** Length of a payload: a command line with its arguments. */
const payloadCharacters = 200;

export const incarnationOfVm = (vmId: string): string => `${vmId}-incarnation`;

/**
Creates the jobs of one class. Each accelerator of the fleet is demanded by one batch task.

@example
fleetJobs(size, 'batch', 7)[0].tasks.length; // => 10
*/
export function fleetJobs(size: FleetSize, workClass: Job['workClass'], seed: number): readonly Job[] {
	const generator = xoroshiro128plus(seed);
	const isBatch = workClass === 'batch';
	const count = isBatch ? size.batchTasks : size.latencyCriticalTasks;
	return Array.from({length: Math.ceil(count / tasksPerJob)}, (_, index) => ({
		jobId: `${workClass}-${index}`,
		teamId: `team-${uniformInt(generator, 0, size.teams - 1)}`,
		workClass,
		priority: isBatch ? (['normal', 'background'] as const)[index % 2]! : 'normal',
		tasks: Array.from({length: Math.min(tasksPerJob, count - (index * tasksPerJob))}, (_task, position) => ({
			taskId: `${workClass}-${index}-${position}`,
			demand: {
				processorsMilli: isBatch ? 500 : 1000,
				memoryMb: isBatch ? 1024 : 2048,
				accelerators: isBatch && (index * tasksPerJob) + position < size.accelerators ? 1 : 0,
			},
			declaredRunTimeMs: 3_600_000,
			payload: 'p'.repeat(payloadCharacters),
		})),
	}));
}

/**
Creates the registration of one VM. Every third VM has 16 cores, the others 32; accelerators come four to a VM.

@example
vmRecord(0, size).vmId; // => 'vm-0'
*/
export function vmRecord(index: number, size: FleetSize): Extract<ClusterRecord, {kind: 'vm-registered'}> {
	const isSmall = index % 3 === 0;
	return {
		kind: 'vm-registered',
		vmId: `vm-${index}`,
		agentIncarnation: incarnationOfVm(`vm-${index}`),
		workerIncarnation: `worker-${index}`,
		failureDomain: `domain-${index % failureDomains}`,
		rack: `rack-${Math.floor(index / vmsPerRack)}`,
		requestAddress: '127.0.0.1:9',
		capacity: {
			processorsMilli: isSmall ? 16_000 : 32_000,
			memoryMb: isSmall ? 60_000 : 125_000,
			accelerators: index < size.accelerators / acceleratorsPerVm ? acceleratorsPerVm : 0,
		},
		runningTasks: [],
	};
}

/**
Creates the record that confirms an intent without conflicts.

@example
planRecord(log.state(), {kind: 'set-weights', weights}).plan.planId; // => 'plan-17'
*/
export function planRecord(state: ClusterState, intent: Intent): Extract<ClusterRecord, {kind: 'plan-confirmed'}> {
	return {
		kind: 'plan-confirmed',
		plan: {
			planId: `plan-${state.offset + 1}`, intent, baseOffset: state.offset, touches: [], summary: [], createdAtMs: 0, expiresAtMs: 1,
		},
	};
}

function decisionFor(freeResources: Resources, vmId: string, offset: number): PlacementDecision {
	return {
		policy: 'least-harm',
		seed: 1,
		stateOffset: offset,
		candidates: [0, 1, 2].map(index => ({
			vmId: `${vmId}${index === 0 ? '' : index}`, scoreMilli: 500, harmMilli: 0, room: {...freeResources},
		})),
		consideredVms: 24,
		reason: 'best score of 24 feasible VMs among 24 considered',
	};
}

/** Returns a function that claims each task of a job for the next VM with enough free resources, in a fixed order. */
function createPlacer(size: FleetSize, log: FleetLog): (job: Job) => readonly ClusterRecord[] {
	const freeResourcesByVm = Array.from({length: size.vms}, (_, index) => {
		const vm = log.state().vms.get(`vm-${index}`)!;
		return subtractResources(vm.capacity, vm.committed);
	});
	let next = 0;
	return job => job.tasks.map(({taskId, demand}) => {
		for (let tried = 0; tried < size.vms; tried++) {
			next = (next + 1) % size.vms;
			const freeResources = freeResourcesByVm[next]!;
			if (fitsInto(demand, freeResources)) {
				freeResourcesByVm[next] = subtractResources(freeResources, demand);
				const vmId = `vm-${next}`;
				return {
					kind: 'task-claimed', taskId, attempt: 1, vmId, agentIncarnation: incarnationOfVm(vmId), committed: demand, evictTaskIds: [], decision: decisionFor(freeResources, vmId, 0),
				};
			}
		}

		throw new Error(`no VM has enough free resources for ${taskId}`);
	});
}

/** A fleet whose tasks all run, with the time that its records took. */
export type Fleet = Readonly<{
	size: FleetSize;
	cluster: ClusterState;
	/** Mean microseconds per record of each kind, over all records that built the fleet. */
	recordUs: Readonly<Record<string, number>>;
	/** Sequence number of the next record of the first entry. */
	nextSequence: number;
}>;

/**
Builds a fleet by applying the records that lead to it. `onStage` is called after the VMs are registered and at the end.

@example
const fleet = buildFleet(shareOfDesignSize(0.1), ['entry-incarnation-1']);
*/
export function buildFleet(size: FleetSize, entryIncarnations: readonly string[], onStage: (stage: 'empty' | 'vms' | 'tasks') => void = () => undefined): Fleet {
	const [writer = 'writer', ...others] = entryIncarnations;
	const log = createFleetLog(withEntries(emptyClusterState, others), writer, 1);
	const recordUs: Record<string, number> = {};
	onStage('empty');
	log.append({
		kind: 'entry-registered', entryId: writer, failureDomain: 'domain-0', operatorAddress: '127.0.0.1:9',
	});
	const vms = Array.from({length: size.vms}, (_, index) => vmRecord(index, size));
	recordUs['vm-registered'] = log.appendTimed(vms);
	onStage('vms');
	for (let index = 0; index < services; index++) {
		log.append(planRecord(log.state(), {
			kind: 'admit-service',
			service: {
				service: `service-${index}`, teamId: `team-${index % size.teams}`, latencyTargetMs: 250, demandPerBackendServer: {processorsMilli: 1000, memoryMb: 1024, accelerators: 0},
			},
		}));
	}

	const quotas = Array.from({length: size.teams}, (_, index): Intent => ({
		kind: 'set-quota', teamId: `team-${index}`, quota: {processorsMilli: 2_000_000, memoryMb: 8_000_000, accelerators: 1600},
	}));
	const quotaStartMs = performance.now();
	for (const intent of quotas) {
		log.append(planRecord(log.state(), intent));
	}

	recordUs['plan-confirmed'] = (1000 * (performance.now() - quotaStartMs)) / quotas.length;
	recordUs['backend-server-announced'] = log.appendTimed(vms.map(({vmId, agentIncarnation}, index) => ({
		kind: 'backend-server-announced', vmId, agentIncarnation, backendServerId: `server-${index}`, service: `service-${index % services}`, slots: 8, connections: 64,
	})));
	const jobs = [...fleetJobs(size, 'batch', 1), ...fleetJobs(size, 'latency-critical', 2)];
	recordUs['job-submitted'] = log.appendTimed(jobs.map(job => ({kind: 'job-submitted', job})));
	const place = createPlacer(size, log);
	const claims = jobs.flatMap(job => place(job));
	recordUs['task-claimed'] = log.appendTimed(claims);
	recordUs['task-started'] = log.appendTimed(claims.flatMap((claim): readonly ClusterRecord[] => claim.kind === 'task-claimed'
		? [{
			kind: 'task-started', taskId: claim.taskId, attempt: 1, agentIncarnation: claim.agentIncarnation,
		}]
		: []));
	onStage('tasks');
	return {
		size, cluster: log.state(), recordUs, nextSequence: (log.state().sequences.get(writer) ?? 0) + 1,
	};
}

/** Returns the state with further entries, each registered by its own first record. */
function withEntries(initial: ClusterState, incarnations: readonly string[]): ClusterState {
	let state = initial;
	for (const incarnation of incarnations) {
		const log = createFleetLog(state, incarnation, 1);
		log.append({
			kind: 'entry-registered', entryId: incarnation, failureDomain: 'domain-0', operatorAddress: '127.0.0.1:9',
		});
		state = log.state();
	}

	return state;
}
