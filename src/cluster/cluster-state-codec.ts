import {
	Map as immutableMap, OrderedMap as orderedMap, OrderedSet as orderedSet, Set as immutableSet,
} from 'immutable';
import {err, ok, type Result} from 'true-myth/result';
import {z} from 'zod';
import {type TypedError} from '../errors/typed-error.js';
import {addressSchema} from '../validation/address-schema.js';
import {countSchema, resourceAmountSchema, timeMsSchema} from '../validation/bounds-schema.js';
import {describeIssues} from '../validation/describe-issues.js';
import {checkClusterState} from './check-cluster-state.js';
import {entityName} from './entity-offsets.js';
import {scoreInputsSchema} from './cluster-record.js';
import {
	type BackendServer, type ClusterState, type EntryMember, type Task, type TaskClaim, type Vm, type WorkflowRun,
} from './cluster-state.js';
import {
	priorityClassSchema, requestLimitsSchema, serviceSchema, weightsSchema,
} from './intent.js';
import {type Resources} from './resources.js';
import {createReadyTasks, readyStepsOf} from './task-creation.js';
import {unboundedContact, type VmContact} from './vm-contact.js';
import {addVmOffer, type VmOffer} from './vm-offer.js';
import {
	parseTaskId, stepKeyOf, withoutReplacementSuffix, workflowSchema,
} from './workflow.js';

/** Version of the encoding, to be incremented with every incompatible change of it. A snapshot of a later version is not loaded. */
const VERSION = 4;

/** The version before: it holds every task of the workflows, those that wait for earlier steps as `blocked`, and those that have ended. */
const VERSION_WITH_ALL_TASKS = 3;

/** A sum over VMs, or a count that one record changes; no message carries it. */
const total = z.int().min(0);
const offset = z.int().min(-1);
const resources = z.tuple([resourceAmountSchema, resourceAmountSchema, resourceAmountSchema]);
const totalResources = z.tuple([total, total, total]);
/** Fixtures and states of tests have VMs without an address. */
const address = z.union([addressSchema, z.literal('')]);
const strings = z.array(z.string());

const decision = z.tuple([
	z.string(), z.int(), z.int(), z.array(z.tuple([z.string(), z.int(), z.int(), resources, scoreInputsSchema.optional()])), total, z.string(),
]);

const claim = z.tuple([z.string(), z.string(), total, z.string(), resources, z.boolean(), strings, decision]);

const task = z.tuple([
	z.string(),
	resources,
	timeMsSchema,
	z.string(),
	z.string().nullable(),
	z.string(),
	z.string(),
	z.enum(['latency-critical', 'batch']),
	priorityClassSchema,
	z.enum(['blocked', 'queued', 'claimed', 'running', 'evicting', 'cancelling', 'finished', 'failed', 'cancelled', 'unplaceable']),
	z.union([countSchema, z.literal(0)]),
	claim.nullable(),
	z.string(),
	total,
	total,
	strings,
	offset,
	offset,
	z.string(),
	z.tuple([total, total]).nullable(),
]);

const vm = z.object({
	vmId: z.string(),
	agentIncarnation: z.string(),
	formerAgentIncarnations: strings,
	workerIncarnation: z.string(),
	failureDomain: z.string(),
	rack: z.string(),
	requestAddress: address,
	capacity: resources,
	committed: resources,
	phase: z.enum(['live', 'revoked', 'expired']),
	draining: z.boolean(),
	leaving: z.boolean(),
	/** Missing in snapshots of versions that did not store it. */
	workerLost: z.boolean().default(false),
	quarantined: z.boolean(),
	service: z.string(),
	labels: strings,
	workerStartedAtMs: timeMsSchema,
	heardBy: strings,
	/** Missing in snapshots of versions that did not store it. */
	contact: z.object({
		isBounded: z.boolean(), limitMs: z.optional(timeMsSchema), silenceMs: z.optional(timeMsSchema), withdrawnOffset: offset.optional(), endedOffset: offset.optional(),
	}).default(unboundedContact),
	taskIds: strings,
	backendServerIds: strings,
	waitingTaskIds: strings,
	waitingBackendServerIds: strings,
});

const backendServer = z.object({
	backendServerId: z.string(),
	service: z.string(),
	vmId: z.string(),
	agentIncarnation: z.string(),
	slots: countSchema,
	connections: countSchema,
	phase: z.enum(['serving', 'leaving', 'gone']),
	draining: z.boolean(),
	committed: resources,
});

/** The cluster state as a JSON value. The most frequent objects are tuples to save space, and unordered collections are sorted. */
export const encodedClusterStateSchema = z.object({
	version: z.literal([VERSION, VERSION_WITH_ALL_TASKS]),
	offset,
	entries: z.array(z.object({
		entryId: z.string(), incarnation: z.string(), failureDomain: z.string(), operatorAddress: z.string(), processorsMilli: countSchema, lastOffset: offset, appliedOffset: offset,
		readLag: z.object({unreadOffsets: z.array(offset).readonly(), isBehind: z.boolean()}).optional(),
		withdrawsAfterMs: z.optional(timeMsSchema),
	})),
	endedIncarnations: strings,
	sequences: z.array(z.tuple([z.string(), total])),
	vms: z.array(vm),
	expiredVmIds: strings,
	/** Service, labels and capacity. Left out in snapshots of versions that did not store it. */
	vmOffers: z.array(z.tuple([z.string(), strings, resources])).optional(),
	backendServers: z.array(backendServer),
	goneBackendServerIds: strings,
	tasks: z.array(task),
	queued: z.array(z.tuple([priorityClassSchema, strings])),
	jobs: z.array(z.tuple([z.string(), strings])),
	unfinishedTasksByJob: z.array(z.tuple([z.string(), z.int()])),
	finishedJobs: z.array(z.tuple([z.string(), total])),
	finishedTaskCount: total,
	workflows: z.array(z.object({
		workflow: workflowSchema,
		owner: z.object({
			jobId: z.string(), teamId: z.string(), workClass: z.enum(['latency-critical', 'batch']), priority: priorityClassSchema,
		}),
		phase: z.enum(['queued', 'running', 'failed', 'cancelled']),
		unfinishedByStep: z.array(z.tuple([z.string(), z.int()])),
		madeOccurrences: total,
		/** Step, next index, indexes that were created out of order, and offset of the occurrence. Missing in the version before. */
		createdByStep: z.array(z.tuple([z.string(), total, z.array(total), offset])).optional(),
	})),
	finishedWorkflows: z.array(z.tuple([z.string(), z.string(), z.enum(['completed', 'failed', 'cancelled'])])),
	/** Missing in snapshots of versions that did not store it, like the next one. */
	earlyCancellations: z.array(z.tuple([z.string(), offset])).default([]),
	earlyCancellationsForgottenThroughOffset: offset.default(-1),
	committedByTeam: z.array(z.tuple([z.string(), totalResources])),
	keys: z.array(z.tuple([z.string(), z.string(), z.string(), z.string(), z.string(), z.string(), offset])),
	keysForgottenThroughOffset: offset,
	configuration: z.object({
		offset,
		services: z.array(serviceSchema),
		quotas: z.array(z.tuple([z.string(), resources])),
		requestLimits: requestLimitsSchema,
		weights: weightsSchema,
		drainingVmIds: strings,
		drainingFailureDomains: strings,
		drainingBackendServerIds: strings,
		/** Failure domain and the fields of its evacuation. Missing in snapshots of versions that did not store it. */
		evacuations: z.array(z.tuple([z.string(), z.boolean(), total, offset, timeMsSchema, total])).default([]),
	}),
	planDecisions: z.array(z.object({
		planId: z.string(), offset, accepted: z.boolean(), reason: z.string(),
	})),
	entityOffsets: z.array(z.tuple([z.string(), offset])),
});

export type EncodedClusterState = z.infer<typeof encodedClusterStateSchema>;

type EncodedTask = EncodedClusterState['tasks'][number];
type EncodedClaim = NonNullable<EncodedTask[11]>;
type EncodedResources = z.infer<typeof resources>;

const endedPhases: ReadonlySet<EncodedTask[9]> = new Set<EncodedTask[9]>(['finished', 'failed', 'cancelled', 'unplaceable']);

const packResources = (amount: Resources): EncodedResources => [amount.processorsMilli, amount.memoryMb, amount.accelerators];
const unpackResources = ([processorsMilli, memoryMb, accelerators]: EncodedResources): Resources => ({processorsMilli, memoryMb, accelerators});

function sortedEntries<Value>(entries: Iterable<[string, Value]>): Array<[string, Value]> {
	return [...entries].toSorted(([a], [b]) => a < b ? -1 : 1);
}

function sortedValues<Value>(entries: Iterable<[string, Value]>): Value[] {
	return sortedEntries(entries).map(([, value]) => value);
}

const sorted = (ids: Iterable<string>): string[] => [...ids].toSorted();

const packClaim = (value: TaskClaim): EncodedClaim => [
	value.vmId,
	value.agentIncarnation,
	value.claimOffset,
	value.writerIncarnation,
	packResources(value.committed),
	value.counted,
	[...value.evictTaskIds],
	[
		value.decision.policy,
		value.decision.seed,
		value.decision.stateOffset,
		value.decision.candidates.map(({vmId, scoreMilli, harmMilli, room, inputs}) =>
			inputs === undefined ? [vmId, scoreMilli, harmMilli, packResources(room)] : [vmId, scoreMilli, harmMilli, packResources(room), inputs]),
		value.decision.consideredVms,
		value.decision.reason,
	],
];

function unpackClaim(packed: EncodedClaim): TaskClaim {
	const [vmId, agentIncarnation, claimOffset, writerIncarnation, committed, counted, evictTaskIds, packedDecision] = packed;
	const [policy, seed, stateOffset, candidates, consideredVms, reason] = packedDecision;
	return {
		vmId,
		agentIncarnation,
		claimOffset,
		writerIncarnation,
		committed: unpackResources(committed),
		counted,
		evictTaskIds,
		decision: {
			policy,
			seed,
			stateOffset,
			candidates: candidates.map(([candidateVmId, scoreMilli, harmMilli, room, inputs]) => ({
				vmId: candidateVmId, scoreMilli, harmMilli, room: unpackResources(room), ...(inputs !== undefined && {inputs}),
			})),
			consideredVms,
			reason,
		},
	};
}

const packTask = (value: Task): EncodedTask => [
	value.spec.taskId,
	packResources(value.spec.demand),
	value.spec.declaredRunTimeMs,
	value.spec.payload,
	value.spec.taskKind ?? null,
	value.jobId,
	value.teamId,
	value.workClass,
	value.priority,
	value.phase,
	value.attempt,
	value.claim ? packClaim(value.claim) : null,
	value.checkpoint,
	value.failures,
	value.evictions,
	[...value.failedOnVmIds],
	value.submittedOffset,
	value.changedOffset,
	value.reason,
	value.position ? [value.position.occurrence, value.position.stepIndex] : null,
];

/** Returns a task with its ID; undefined for one of a workflow that the version before holds and this one does not. */
function unpackTask(packed: EncodedTask): [string, Task] | undefined {
	const [
		taskId,
		demand,
		declaredRunTimeMs,
		payload,
		taskKind,
		jobId,
		teamId,
		workClass,
		priority,
		phase,
		attempt,
		packedClaim,
		checkpoint,
		failures,
		evictions,
		failedOnVmIds,
		submittedOffset,
		changedOffset,
		reason,
		position,
	] = packed;
	if (phase === 'blocked' || (position !== null && endedPhases.has(phase))) {
		return undefined;
	}

	return [taskId, {
		spec: {
			taskId,
			demand: unpackResources(demand),
			declaredRunTimeMs,
			payload,
			...(taskKind === null ? {} : {taskKind}),
		},
		position: position ? {occurrence: position[0], stepIndex: position[1]} : undefined,
		jobId,
		teamId,
		workClass,
		priority,
		phase,
		attempt,
		claim: packedClaim ? unpackClaim(packedClaim) : undefined,
		checkpoint,
		failures,
		evictions,
		failedOnVmIds,
		submittedOffset,
		changedOffset,
		reason,
	}];
}

type EncodedRun = EncodedClusterState['workflows'][number];

function packWorkflowRun({workflow, owner, phase, unfinishedByStep, madeOccurrences, createdByStep}: WorkflowRun): EncodedRun {
	return {
		workflow,
		owner,
		phase,
		unfinishedByStep: sortedEntries(unfinishedByStep),
		madeOccurrences,
		createdByStep: sortedEntries(createdByStep).map(([key, {nextIndex, aheadIndexes, offset}]) => [key, nextIndex, [...aheadIndexes].toSorted((left, right) => left - right), offset]),
	};
}

/**
@param tasks the run's tasks that the state holds.
@param former what stands for `createdByStep` in a run of the version before.
*/
function unpackWorkflowRun({unfinishedByStep, createdByStep, ...packed}: EncodedRun, tasks: readonly Task[], former: FormerCreatedTasks): WorkflowRun {
	const run = {
		...packed,
		unfinishedByStep: immutableMap(unfinishedByStep),
		createdByStep: immutableMap((createdByStep ?? createdStepsOf(unfinishedByStep, former))
			.map(([key, nextIndex, aheadIndexes, offset]) => [key, {nextIndex, aheadIndexes: immutableSet(aheadIndexes), offset}])),
	};
	return {
		...run,
		readySteps: packed.phase === 'failed' || packed.phase === 'cancelled' ? [] : readyStepsOf(run),
		taskIds: immutableSet(tasks.map(({spec}) => spec.taskId)),
		queuedTasks: tasks.filter(({phase}) => phase === 'queued').length,
	};
}

/**
Returns whether a task of the version before has never been claimed and can be left to its step's number. Such tasks may be more than the state bears.
*/
function isWaiting(packed: EncodedTask): boolean {
	const [phase, attempt, position] = [packed[9], packed[10], packed[19]];
	return position !== null && (phase === 'blocked' || (phase === 'queued' && attempt === 0));
}

/** Returns the indexes of the given tasks by job and step, those that have ended included. */
function createdIndexesOf(tasks: readonly EncodedTask[]): Map<string, Map<string, number[]>> {
	const byJob = new Map<string, Map<string, number[]>>();
	for (const packed of tasks) {
		const parsed = packed[19] === null ? undefined : parseTaskId(withoutReplacementSuffix(packed[0]));
		if (parsed) {
			const byStep = byJob.get(parsed.jobId) ?? new Map<string, number[]>();
			byJob.set(parsed.jobId, byStep);
			const key = stepKeyOf(parsed.position);
			const indexes = byStep.get(key) ?? [];
			byStep.set(key, indexes);
			indexes.push(parsed.index);
		}
	}

	return byJob;
}

/** Indexes of the created tasks of a run of the version before by step, and the offset of its submission. */
type FormerCreatedTasks = Readonly<{indexes: ReadonlyMap<string, readonly number[]> | undefined; offset: number}>;

/** Returns which tasks of a run of the version before count as created. */
function createdStepsOf(unfinishedByStep: EncodedRun['unfinishedByStep'], {indexes, offset}: FormerCreatedTasks): NonNullable<EncodedRun['createdByStep']> {
	return unfinishedByStep.map(([key]) => [key, 0, [...indexes?.get(key) ?? []], offset]);
}

const packMember = ({readLag, withdrawsAfterMs, ...member}: EntryMember): EncodedClusterState['entries'][number] => ({
	...member, ...(readLag && {readLag}), ...(withdrawsAfterMs !== undefined && {withdrawsAfterMs}),
});

const packContact = ({isBounded, limitMs, silenceMs, withdrawnOffset, endedOffset}: VmContact): EncodedClusterState['vms'][number]['contact'] => ({
	isBounded,
	...(limitMs !== undefined && {limitMs}),
	...(silenceMs !== undefined && {silenceMs}),
	...(withdrawnOffset !== undefined && {withdrawnOffset}),
	...(endedOffset !== undefined && {endedOffset}),
});

const packVm = (value: Vm): EncodedClusterState['vms'][number] => ({
	...value,
	formerAgentIncarnations: [...value.formerAgentIncarnations],
	labels: [...value.labels],
	capacity: packResources(value.capacity),
	committed: packResources(value.committed),
	heardBy: sorted(value.heardBy),
	contact: packContact(value.contact),
	taskIds: sorted(value.taskIds),
	backendServerIds: sorted(value.backendServerIds),
	waitingTaskIds: [...value.waitingTaskIds],
	waitingBackendServerIds: [...value.waitingBackendServerIds],
});

const unpackVm = (packed: EncodedClusterState['vms'][number]): [string, Vm] => [packed.vmId, {
	...packed,
	capacity: unpackResources(packed.capacity),
	committed: unpackResources(packed.committed),
	heardBy: immutableSet(packed.heardBy),
	taskIds: immutableSet(packed.taskIds),
	backendServerIds: immutableSet(packed.backendServerIds),
}];

const unpackVmOffers = (packed: EncodedClusterState['vmOffers']): ClusterState['vmOffers'] | undefined =>
	packed && vmOffersOf(packed.map(([service, labels, capacity]) => ({service, labels, capacity: unpackResources(capacity)})));

function vmOffersOf(offers: readonly VmOffer[]): ClusterState['vmOffers'] {
	let known: ClusterState['vmOffers'] = orderedMap();
	for (const offer of offers) {
		known = addVmOffer(known, offer);
	}

	return known;
}

const unpackBackendServer = (packed: EncodedClusterState['backendServers'][number]): [string, BackendServer] =>
	[packed.backendServerId, {...packed, committed: unpackResources(packed.committed)}];

/**
Encodes a cluster state as a JSON value. Equal states have equal encodings, whichever records led to them.

@example
JSON.stringify(encodeClusterState(state));
*/
export function encodeClusterState(state: ClusterState): EncodedClusterState {
	const {configuration} = state;
	return {
		version: VERSION,
		offset: state.offset,
		entries: sortedValues(state.entries).map(member => packMember(member)),
		endedIncarnations: [...state.endedIncarnations],
		sequences: sortedEntries(state.sequences),
		vms: sortedValues(state.vms).map(value => packVm(value)),
		expiredVmIds: [...state.expiredVmIds],
		vmOffers: [...state.vmOffers.values()].map(({service, labels, capacity}) => [service, [...labels], packResources(capacity)]),
		backendServers: sortedValues(state.backendServers).map(value => ({...value, committed: packResources(value.committed)})),
		goneBackendServerIds: [...state.goneBackendServerIds],
		tasks: sortedValues(state.tasks).map(value => packTask(value)),
		queued: priorityClassSchema.options.map(priority => [priority, [...(state.queued.get(priority)?.keys() ?? [])]]),
		jobs: sortedEntries(state.jobs).map(([jobId, taskIds]) => [jobId, [...taskIds]]),
		unfinishedTasksByJob: sortedEntries(state.unfinishedTasksByJob),
		finishedJobs: [...state.finishedJobs],
		finishedTaskCount: state.finishedTaskCount,
		workflows: sortedValues(state.workflows).map(run => packWorkflowRun(run)),
		finishedWorkflows: [...state.finishedWorkflows].map(([jobId, {queue, phase}]) => [jobId, queue, phase]),
		earlyCancellations: [...state.earlyCancellations],
		earlyCancellationsForgottenThroughOffset: state.earlyCancellationsForgottenThroughOffset,
		committedByTeam: sortedEntries(state.committedByTeam).map(([teamId, amount]) => [teamId, packResources(amount)]),
		keys: [...state.keys.values()].map(value => [
			value.keyHash, value.bodyHash, value.service, value.vmId, value.agentIncarnation, value.backendServerId, value.claimOffset,
		]),
		keysForgottenThroughOffset: state.keysForgottenThroughOffset,
		configuration: {
			...configuration,
			services: sortedValues(configuration.services),
			quotas: sortedEntries(configuration.quotas).map(([teamId, amount]) => [teamId, packResources(amount)]),
			drainingVmIds: sorted(configuration.drainingVmIds),
			drainingFailureDomains: sorted(configuration.drainingFailureDomains),
			drainingBackendServerIds: sorted(configuration.drainingBackendServerIds),
			evacuations: sortedEntries(configuration.evacuations).map(([failureDomain, {isRequested, requestOffset, offset, noticedAtMs, refusedClaims}]) =>
				[failureDomain, isRequested, requestOffset, offset, noticedAtMs, refusedClaims]),
		},
		planDecisions: [...state.planDecisions.values()],
		entityOffsets: sortedEntries(state.entityOffsets),
	};
}

/**
Decodes the result of {@link encodeClusterState}, for example from a snapshot. Returns the error `cluster-state-invalid` for any other value,
and for a state that no log leads to, such as one with a claim for a VM that does not exist.

@example
decodeClusterState(JSON.parse(text)); // => Ok(state)
*/
export function decodeClusterState(value: unknown): Result<ClusterState, TypedError<'cluster-state-invalid'>> {
	const parsed = encodedClusterStateSchema.safeParse(value);
	if (!parsed.success) {
		return err(invalidState(`it is not of version ${VERSION}: ${describeIssues(parsed.error)}`));
	}

	const state = unpackState(parsed.data);
	const contradiction = checkClusterState(state);
	return contradiction === undefined ? ok(state) : err(invalidState(contradiction));
}

function invalidState(reason: string): TypedError<'cluster-state-invalid'> {
	return {
		kind: 'cluster-state-invalid',
		message: `the state cannot be used: ${reason}`,
		remedy: 'let an entry of this version read the log from an older snapshot or from its start',
	};
}

function unpackState(data: EncodedClusterState): ClusterState {
	const {configuration} = data;
	const vms = data.vms.map(packed => unpackVm(packed));
	const workflowIds = new Set(data.workflows.map(({owner}) => owner.jobId));
	const holdsAllTasks = data.version === VERSION_WITH_ALL_TASKS;
	const heldTasks = holdsAllTasks ? data.tasks.filter(packed => !isWaiting(packed)) : data.tasks;
	const createdByJob = holdsAllTasks ? createdIndexesOf(heldTasks) : new Map<string, Map<string, number[]>>();
	const entityOffsets = immutableMap(data.entityOffsets);
	const tasks = heldTasks.map(packed => unpackTask(packed)).filter(unpacked => unpacked !== undefined);
	const tasksByJob = new Map<string, Task[]>();
	for (const [, value] of tasks) {
		if (value.position) {
			const ofJob = tasksByJob.get(value.jobId) ?? [];
			tasksByJob.set(value.jobId, ofJob);
			ofJob.push(value);
		}
	}

	const heldIds = new Set(tasks.map(([taskId]) => taskId));
	const state: ClusterState = {
		offset: data.offset,
		entries: immutableMap(data.entries.map(member => [member.incarnation, member])),
		endedIncarnations: orderedSet(data.endedIncarnations),
		sequences: immutableMap(data.sequences),
		vms: immutableMap(vms),
		expiredVmIds: orderedSet(data.expiredVmIds),
		// Without stored offers, those of the VMs in the snapshot are known.
		vmOffers: unpackVmOffers(data.vmOffers) ?? vmOffersOf(vms.map(([, value]) => value)),
		backendServers: immutableMap(data.backendServers.map(packed => unpackBackendServer(packed))),
		goneBackendServerIds: orderedSet(data.goneBackendServerIds),
		tasks: immutableMap(tasks),
		queued: immutableMap(data.queued.map(([priority, taskIds]) =>
			[priority, orderedMap(taskIds.filter(taskId => !holdsAllTasks || heldIds.has(taskId)).map(taskId => [taskId, true as const]))])),
		jobs: immutableMap(data.jobs.map(([jobId, taskIds]) => [jobId, workflowIds.has(jobId) ? [] : taskIds])),
		unfinishedTasksByJob: immutableMap(data.unfinishedTasksByJob),
		finishedJobs: orderedMap(data.finishedJobs),
		finishedTaskCount: data.finishedTaskCount,
		workflows: immutableMap(data.workflows.map(run => [run.owner.jobId, unpackWorkflowRun(run, tasksByJob.get(run.owner.jobId) ?? [], {
			indexes: createdByJob.get(run.owner.jobId), offset: entityOffsets.get(entityName('job', run.owner.jobId)) ?? -1,
		})])),
		finishedWorkflows: orderedMap(data.finishedWorkflows.map(([jobId, queue, phase]) => [jobId, {queue, phase}])),
		earlyCancellations: orderedMap(data.earlyCancellations),
		earlyCancellationsForgottenThroughOffset: data.earlyCancellationsForgottenThroughOffset,
		committedByTeam: immutableMap(data.committedByTeam.map(([teamId, amount]) => [teamId, unpackResources(amount)])),
		keys: orderedMap(data.keys.map(([keyHash, bodyHash, service, vmId, agentIncarnation, backendServerId, claimOffset]) => [keyHash, {
			keyHash, bodyHash, service, vmId, agentIncarnation, backendServerId, claimOffset,
		}])),
		keysForgottenThroughOffset: data.keysForgottenThroughOffset,
		configuration: {
			...configuration,
			services: immutableMap(configuration.services.map(service => [service.service, service])),
			quotas: immutableMap(configuration.quotas.map(([teamId, amount]) => [teamId, unpackResources(amount)])),
			drainingVmIds: immutableSet(configuration.drainingVmIds),
			drainingFailureDomains: immutableSet(configuration.drainingFailureDomains),
			drainingBackendServerIds: immutableSet(configuration.drainingBackendServerIds),
			evacuations: immutableMap(configuration.evacuations.map(([failureDomain, isRequested, requestOffset, offset, noticedAtMs, refusedClaims]) => [failureDomain, {
				isRequested, requestOffset, offset, noticedAtMs, refusedClaims,
			}])),
		},
		planDecisions: orderedMap(data.planDecisions.map(planDecision => [planDecision.planId, planDecision])),
		entityOffsets,
	};
	return holdsAllTasks ? withReadyTasks(state) : state;
}

/** Creates the waiting tasks that were left out, job after job in the order of submission. */
function withReadyTasks(state: ClusterState): ClusterState {
	const offsetOf = (jobId: string): number => state.entityOffsets.get(entityName('job', jobId)) ?? -1;
	let next = state;
	for (const jobId of [...state.workflows.keys()].toSorted((left, right) => offsetOf(left) - offsetOf(right) || (left < right ? -1 : 1))) {
		next = createReadyTasks(next, jobId);
	}

	return next;
}
