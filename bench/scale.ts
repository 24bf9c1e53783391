import {Buffer} from 'node:buffer';
import {promisify} from 'node:util';
import {deflate, inflate} from 'node:zlib';
import {type ClusterRecord} from '../src/cluster/cluster-record.js';
import {type ClusterState} from '../src/cluster/cluster-state.js';
import {decodeClusterState, encodeClusterState} from '../src/cluster/cluster-state-codec.js';
import {type Job} from '../src/cluster/intent.js';
import {type EntryContext} from '../src/entry/entry-context.js';
import {placeQueuedTasks} from '../src/placement/place-queued-tasks.js';
import {initialPlacement} from '../src/placement/placement-state.js';
import {buildStatus} from '../src/operator/build-status.js';
import {entrySettingsSchema} from '../src/settings/entry-settings.js';
import {
	buildFleet, createFleetLog, type Fleet, planRecord, shareOfDesignSize,
} from './fleet.js';
import {heapUsedBytes} from './heap-used.js';
import {percentile} from './percentile.js';
import {printFigures} from './print-figures.js';
import {runStartLoad} from './start-load.js';

const shares = [0.1, 0.5, 1];
const incarnations = ['entry-incarnation-1', 'entry-incarnation-2', 'entry-incarnation-3'];
const repeats = 5;
const virtualMs = 1000;

const settings = entrySettingsSchema.parse({
	role: 'entry',
	entryId: 'entry-1',
	failureDomain: 'domain-0',
	callerAddress: '127.0.0.1:1',
	operatorAddress: '127.0.0.1:2',
	agentAddress: '127.0.0.1:3',
	operatorTokenFile: 'none',
	logServiceUrl: 'http://127.0.0.1:4',
});

function contextFor(cluster: ClusterState): EntryContext {
	return {
		cluster, settings, incarnation: incarnations[0]!, nowMs: 1000, wallTimeMs: 1000, tailConfirmedSentAtMs: 1000, pendingAppends: 0, seed: 7,
	};
}

/** Returns the median duration of several runs, in milliseconds. */
function medianMs(run: () => unknown): number {
	return percentile(Array.from({length: repeats}, () => {
		const startMs = performance.now();
		run();
		return performance.now() - startMs;
	}), 0.5);
}

function jobOf(jobId: string, tasks: number, overrides: Readonly<{teamId?: string; processorsMilli?: number; priority?: Job['priority']}> = {}): Job {
	return {
		jobId,
		teamId: overrides.teamId ?? 'team-0',
		workClass: 'batch',
		priority: overrides.priority ?? 'normal',
		tasks: Array.from({length: tasks}, (_, index) => ({
			taskId: `${jobId}-${index}`, demand: {processorsMilli: overrides.processorsMilli ?? 500, memoryMb: 512, accelerators: 0}, declaredRunTimeMs: 1000, payload: '',
		})),
	};
}

/** Returns the state with one live entry, which is then the placement owner of every job. */
function withOneLiveEntry({cluster}: Fleet): ClusterState {
	return {...cluster, entries: cluster.entries.filter((_, incarnation) => incarnation === incarnations[0])};
}

function measurePlacement(fleet: Fleet): Readonly<Record<string, number>> {
	const base = withOneLiveEntry(fleet);
	const log = createFleetLog(base, incarnations[0]!, fleet.nextSequence);
	log.append({kind: 'job-submitted', job: jobOf('burst', 500)});
	const context = contextFor(log.state());
	const passMs = medianMs(() => placeQueuedTasks(initialPlacement, context));
	const claims = placeQueuedTasks(initialPlacement, context).effects
		.flatMap(effect => effect.kind === 'append-record' ? [effect.record] : []);
	const claimAppliedUs = log.appendTimed(claims);
	return {placementUs: (1000 * passMs) / Math.max(1, claims.length), claims: claims.length, claimAppliedUs};
}

/** Measures the milliseconds of a placement pass over queues whose tasks cannot be placed: for lack of free resources, for lack of quota, or because other entries own their jobs. */
function measureBlockedQueues(fleet: Fleet): Readonly<Record<string, number>> {
	const queued = (jobs: number, overrides: Parameters<typeof jobOf>[2]): EntryContext => {
		const log = createFleetLog(withOneLiveEntry(fleet), incarnations[0]!, fleet.nextSequence);
		for (let index = 0; index < jobs; index++) {
			log.append({kind: 'job-submitted', job: jobOf(`blocked-${index}`, 1000, overrides)});
		}

		return contextFor(log.state());
	};

	const blockedByResources = queued(10, {processorsMilli: 32_000});
	const log = createFleetLog(withOneLiveEntry(fleet), incarnations[0]!, fleet.nextSequence);
	log.append(planRecord(log.state(), {kind: 'set-quota', teamId: 'team-0', quota: {processorsMilli: 0, memoryMb: 0, accelerators: 0}}));
	for (let index = 0; index < 10; index++) {
		log.append({kind: 'job-submitted', job: jobOf(`quota-${index}`, 1000)});
	}

	const blockedByQuota = contextFor(log.state());
	const ownedByOthers = {...contextFor(fleet.cluster), cluster: {...queued(10, {}).cluster, entries: fleet.cluster.entries.delete(incarnations[0]!)}};
	const stateAfterPass = placeQueuedTasks(initialPlacement, ownedByOthers).state;
	return {
		passWithoutRoomMs: medianMs(() => placeQueuedTasks(initialPlacement, blockedByResources)),
		passWithoutQuotaMs: medianMs(() => placeQueuedTasks(initialPlacement, blockedByQuota)),
		passOfOthersMs: medianMs(() => placeQueuedTasks(stateAfterPass, ownedByOthers)),
	};
}

/** Measures the mean microseconds per record, for kinds of records that building the fleet does not use. */
function measureOtherRecords(fleet: Fleet): Readonly<Record<string, number>> {
	const {cluster} = fleet;
	const running = [...cluster.tasks.values()].filter(task => task.workClass === 'batch').slice(0, 1000);
	const vms = [...cluster.vms.values()].slice(0, 100);
	const attemptOf = (task: typeof running[number]) => ({taskId: task.spec.taskId, attempt: task.attempt, agentIncarnation: task.claim?.agentIncarnation ?? ''});
	const agentOf = ({vmId, agentIncarnation}: typeof vms[number]) => ({vmId, agentIncarnation});
	const batches: Readonly<Record<string, readonly ClusterRecord[]>> = {
		'entry-alive': running.map(() => ({kind: 'entry-alive', appliedOffset: cluster.offset})),
		'task-ended': running.map(task => ({
			kind: 'task-ended', ...attemptOf(task), outcome: 'finished', reason: '',
		})),
		'task-checkpointed': running.map(task => ({
			kind: 'task-checkpointed', ...attemptOf(task), checkpoint: 'c', reason: '',
		})),
		'evict-requested': running.map(task => ({
			kind: 'evict-requested', taskId: task.spec.taskId, attempt: task.attempt, reason: '',
		})),
		'tasks-cancelled': running.map(task => ({kind: 'tasks-cancelled', taskIds: [task.spec.taskId]})),
		'vm-unreachable': vms.map(vm => ({kind: 'vm-unreachable', ...agentOf(vm)})),
		'vm-quarantined': vms.map(vm => ({kind: 'vm-quarantined', ...agentOf(vm), reason: ''})),
		'vm-revoked': vms.map(vm => ({kind: 'vm-revoked', ...agentOf(vm), reason: ''})),
		'key-claimed': running.map((_task, index) => ({
			kind: 'key-claimed', ...agentOf(vms[0]!), keyHash: `key-${index}`, bodyHash: 'b', service: 'service-0', backendServerId: 'server-0',
		})),
	};
	const figures: Record<string, number> = {};
	for (const [kind, records] of Object.entries(batches)) {
		figures[kind] = createFleetLog(cluster, incarnations[0]!, fleet.nextSequence).appendTimed(records);
	}

	const revokedLog = createFleetLog(cluster, incarnations[0]!, fleet.nextSequence);
	for (const vm of vms) {
		revokedLog.append({kind: 'vm-revoked', ...agentOf(vm), reason: ''});
	}

	figures['vm-lease-expired'] = revokedLog.appendTimed(vms.map(vm => ({kind: 'vm-lease-expired', ...agentOf(vm)})));
	return figures;
}

async function measureSnapshot(cluster: ClusterState): Promise<Readonly<Record<string, number>>> {
	const encodeMs = medianMs(() => encodeClusterState(cluster));
	const encoded = encodeClusterState(cluster);
	const stringifyMs = medianMs(() => JSON.stringify(encoded));
	const text = JSON.stringify(encoded);
	const deflateStartMs = performance.now();
	const compressed = await promisify(deflate)(text);
	const deflateMs = performance.now() - deflateStartMs;
	const loadStartMs = performance.now();
	const inflated = await promisify(inflate)(compressed);
	const value: unknown = JSON.parse(inflated.toString());
	const decodeStartMs = performance.now();
	decodeClusterState(value);
	const endMs = performance.now();
	return {
		snapshotBytes: Buffer.byteLength(text),
		compressedBytes: compressed.length,
		encodeMs,
		stringifyMs,
		deflateMs,
		decodeMs: endMs - decodeStartMs,
		loadMs: endMs - loadStartMs,
	};
}

function prefixed(prefix: string, figures: Readonly<Record<string, number>>): Readonly<Record<string, number>> {
	return Object.fromEntries(Object.entries(figures).map(([name, value]) => [`${prefix}.${name}`, value]));
}

function measureStatus(cluster: ClusterState): number {
	const appliedOffsetByVm = Object.fromEntries([...cluster.vms.keys()].map(vmId => [vmId, cluster.offset]));
	return medianMs(() => buildStatus(cluster, {
		appliedOffsetByVm, appliedOffsetByEntry: {}, logReachable: true, tailAgeMs: 0,
	}));
}

/**
Measures the decision logic of one entry without processes, for fleets of three sizes. Limited to about a minute of one core.

@example
await runBench();
*/
export async function runBench(): Promise<void> {
	for (const share of shares) {
		const size = shareOfDesignSize(share);
		const label = {bench: 'scale', sharePercent: share * 100};
		const heapByStage: Record<string, number> = {};
		const fleet = buildFleet(size, incarnations, stage => {
			heapByStage[stage] = heapUsedBytes();
		});
		const tasks = size.latencyCriticalTasks + size.batchTasks;
		printFigures({
			...label, part: 'state', vms: size.vms, tasks, teams: size.teams,
			heapBytesPerVm: (heapByStage.vms! - heapByStage.empty!) / size.vms,
			heapBytesPerTask: (heapByStage.tasks! - heapByStage.vms!) / tasks,
			heapStateMb: (heapByStage.tasks! - heapByStage.empty!) / 1_048_576,
		});
		printFigures({...label, part: 'records', ...prefixed('us', {...fleet.recordUs, ...measureOtherRecords(fleet)})});
		printFigures({
			...label, part: 'placement', ...measurePlacement(fleet), ...measureBlockedQueues(fleet),
		});
		printFigures({
			...label, part: 'snapshot', ...await measureSnapshot(fleet.cluster), statusMs: measureStatus(fleet.cluster),
		});
		for (const startsPerSecond of [0, 500, 1000]) {
			const {eventUs, eventsPerSecond, ...figures} = runStartLoad({
				cluster: fleet.cluster, size, incarnations, startsPerSecond: startsPerSecond * share, virtualMs,
			});
			printFigures({
				...label, part: 'load', offeredStartsPerSecond: startsPerSecond * share, ...figures,
				...prefixed('us', eventUs), ...prefixed('perSecond', eventsPerSecond),
			});
		}
	}
}
