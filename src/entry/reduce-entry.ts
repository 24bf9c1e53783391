import {type ClusterState} from '../cluster/cluster-state.js';
import {withRequests} from '../cluster/evacuations.js';
import {rankEntries} from '../cluster/rank-entries.js';
import {applyRecords} from '../cluster/reduce-cluster.js';
import {BackendServerPhase} from '../generated/arbutushinge/v1/agent_pb.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {tickEntryLiveness, resetEntryObservation} from '../membership/entry-liveness.js';
import {unheardVmIds} from '../membership/unheard-vms.js';
import {tickVmLiveness} from '../membership/vm-liveness.js';
import {recordAttemptEnds, tickFailureAttribution} from '../placement/failure-attribution.js';
import {placeQueuedTasks} from '../placement/place-queued-tasks.js';
import {initialPlacement} from '../placement/placement-state.js';
import {recordFailedStarts} from '../placement/restart-pauses.js';
import {forgetRunningTasks, recordRunTimes} from '../placement/run-time-estimates.js';
import {type RequestEvent} from '../requests/request-event.js';
import {reduceRequests} from '../requests/reduce-requests.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {
	grantFirstLeases, startAndAcknowledgeTasks, linkOf, reduceAgentEvent, refreshLinks,
} from './reduce-agent-event.js';
import {logEvacuationChanges, tickEvacuations} from './evacuation-progress.js';
import {emptyAppendGuard} from './append-guard.js';
import {requestDeferredAnswer, resolveDeferredAnswers, type DeferredTransition} from './deferred-answers.js';
import {admissionOf, recordForAdmission, tickEntryAdmission} from './entry-admission.js';
import {type EntryContext, isLogFresh} from './entry-context.js';
import {contextOf} from './context-of.js';
import {type EntryEffect} from './entry-effect.js';
import {type EntryEvent, type EventInputs} from './entry-event.js';
import {type EntryState} from './entry-state.js';
import {
	giveUpInHeartbeats, hasGivenPlacementUp, recordFailedPass, recordPass,
} from './failing-placement.js';
import {tickKeyExpiry} from './key-expiry.js';
import {logFailedJobs} from './log-failed-job.js';
import {recordTimeline} from './record-timeline.js';
import {touchedVms} from './touched-vms.js';

/** A new state of an entry with the effects to execute. */
export type EntryTransition = Readonly<{state: EntryState; effects: readonly EntryEffect[]}>;

type EventByKind = {readonly [Kind in EntryEvent['kind']]: Extract<EntryEvent, {kind: Kind}>};

type Handler<Kind extends EntryEvent['kind']> = (
	state: EntryState,
	event: EventByKind[Kind],
	inputs: EventInputs,
	settings: EntrySettings,
) => EntryTransition;

/** Time between two evaluations of liveness, key expiry, snapshots and due commands. */
const controlTickMs = 250;

/** Pause before the first retry of a snapshot that could not be written. */
const firstSnapshotRetryPauseMs = 250;

/**
Shortest time between the starts of two placement passes, as a factor on the duration of the newest one, and the limit of this time. A pass follows
each page of the log; with many VMs and queued tasks, passes would otherwise take all of the owner's time while the records that it waits for pile up.
*/
const pausePerPass = 5;
const maxPassPauseMs = 250;

/** Phases in which an agent refuses new requests for a backend server. */
const refusingPhases: ReadonlySet<BackendServerPhase> = new Set([BackendServerPhase.LEAVING, BackendServerPhase.DRAINED]);

const handlers: {readonly [Kind in EntryEvent['kind']]: Handler<Kind>} = {
	'log-page': reduceLogPage,
	'log-failed': reduceLogFailure,
	'snapshot-loaded': (state, event) => ({
		state: event.cluster.offset > state.cluster.offset
			? {...state, cluster: event.cluster, snapshot: {...state.snapshot, coversOffset: event.cluster.offset}}
			: state,
		effects: [],
	}),
	'snapshot-written': (state, event, {nowMs}) => ({
		state: {
			...state,
			snapshot: event.coversOffset < 0
				? {
					...state.snapshot, isWriting: false, failedTries: state.snapshot.failedTries + 1, triedAtMs: nowMs,
				}
				: {
					coversOffset: Math.max(state.snapshot.coversOffset, event.coversOffset), writtenAtMs: nowMs, isWriting: false, failedTries: 0, triedAtMs: nowMs,
				},
		},
		effects: [],
	}),
	'incarnation-started': (state, event) => ({
		// What the former incarnation appended may have been ignored.
		state: {
			...state,
			incarnation: event.incarnation,
			appendGuard: emptyAppendGuard,
			vmLiveness: {...state.vmLiveness, guard: emptyAppendGuard},
			evacuations: {...state.evacuations, guard: emptyAppendGuard},
		},
		effects: [],
	}),
	'agent-hello': reduceAgentEvent,
	'agent-heartbeat'(state, event, inputs, settings) {
		const transition = reduceAgentEvent(state, event, inputs, settings);
		const link = linkOf(transition.state, event.sessionId);
		return link
			? continueWithRequest(transition, {
				kind: 'agent-load-reported',
				vmId: link.vmId,
				backendServers: event.heartbeat.backendServers.map(({backendServerId, activeRequests, queuedRequests, phase}) => ({
					backendServerId, activeRequests, queuedRequests, leaving: event.heartbeat.leaving || refusingPhases.has(phase),
				})),
			}, inputs, settings)
			: transition;
	},
	'agent-task-events': reduceAgentEvent,
	'agent-session-closed': reduceAgentEvent,
	tick: reduceTick,
	'vm-resumed': (state, {suspendedMs}, {nowMs}) => ({
		state: {...state, log: {...state.log, tailConfirmedSentAtMs: Number.NEGATIVE_INFINITY, resumedAtMs: nowMs}, runTimes: forgetRunningTasks(state.runTimes)},
		effects: [{
			kind: 'log-event', level: 'warn', event: 'vm-resumed', fields: {suspendedMs: Math.round(suspendedMs)},
		}],
	}),
	'deferred-asked'(state, event, inputs, settings) {
		return withDeferred(state, requestDeferredAnswer(state.deferred, event, contextOf(state, inputs, settings), admissionOf(state, inputs, settings)));
	},
	request: (state, event, inputs, settings) => continueWithRequest({state, effects: []}, event.event, inputs, settings),
};

/**
Computes the next state of an entry and the effects that its process has to execute. A pure function: time and random seed are inputs.

@example
const {state, effects} = reduceEntry(initialEntryState('a81f…'), {kind: 'tick'}, inputs, settings);
*/
export function reduceEntry(state: EntryState, event: EntryEvent, inputs: EventInputs, settings: EntrySettings): EntryTransition {
	return bindHandler(event.kind, event)(state, inputs, settings);
}

type BoundHandler = (state: EntryState, inputs: EventInputs, settings: EntrySettings) => EntryTransition;

function bindHandler<Kind extends EntryEvent['kind']>(kind: Kind, event: EventByKind[Kind]): BoundHandler {
	return (state, inputs, settings) => handlers[kind](state, event, inputs, settings);
}

function reduceLogPage(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'log-page'}>,
	inputs: EventInputs,
	settings: EntrySettings,
): EntryTransition {
	const before = state.cluster;
	const cluster = applyRecords(before, event.records, inputs.onPartFailed && (({offset, kind, error}) => inputs.onPartFailed?.({part: `record-${kind}`, offset, error})));
	const log = {
		...state.log,
		tailConfirmedSentAtMs: event.reachedTail && event.readSentAtMs >= (state.log.resumedAtMs ?? Number.NEGATIVE_INFINITY)
			? Math.max(state.log.tailConfirmedSentAtMs, event.readSentAtMs)
			: state.log.tailConfirmedSentAtMs,
		reachable: true,
	};
	const entryLiveness = state.log.reachable ? state.entryLiveness : resetEntryObservation(state.entryLiveness, inputs.nowMs);
	// The records are applied whatever fails in the parts below: they are read only once.
	const applied: EntryTransition = {
		state: {
			...state, cluster, log, entryLiveness,
		},
		effects: [],
	};
	return runParts(applied, event.records.length > 0 ? [...readBackParts(event, {cluster: before, tailSentAtMs: state.log.tailConfirmedSentAtMs}, inputs, settings), ...tailParts(event, inputs, settings)] : tailParts(event, inputs, settings), inputs);
}

/** Returns the parts that follow the records of a page. */
function readBackParts(
	event: Extract<EntryEvent, {kind: 'log-page'}>,
	{cluster: before, tailSentAtMs}: Readonly<{cluster: EntryState['cluster']; tailSentAtMs: number}>,
	inputs: EventInputs,
	settings: EntrySettings,
): readonly Part[] {
	return [
		['claim-times', state => ({state: recordClaimTimes(state, event, inputs), effects: []})],
		['attempt-ends', state => ({state: {...state, failureAttribution: recordAttemptEnds(state.failureAttribution, event.records, before)}, effects: []})],
		['failed-starts', state => ({
			state: {...state, placement: {...state.placement, failedStarts: recordFailedStarts(state.placement.failedStarts, event.records, state.cluster, inputs.nowMs)}},
			effects: [],
		})],
		['evacuation-changes', state => ({state, effects: logEvacuationChanges(before, state.cluster)})],
		['run-times', state => ({
			// The times of records that may have been written long before this page, such as at the start and after a pause, are not known.
			state: isLogFresh({...contextOf(state, inputs, settings), tailConfirmedSentAtMs: tailSentAtMs}) ? {...state, runTimes: recordRunTimes(state.runTimes, event.records, state.cluster, inputs.nowMs)} : state,
			effects: [],
		})],
		['admission', state => ({state: recordForAdmission(state, event.records, {before, nowMs: inputs.nowMs, settings}), effects: []})],
		['timeline', state => ({state, effects: recordTimeline(event.records, before, state.cluster, state.incarnation)})],
		['failed-jobs', state => ({state, effects: logFailedJobs(event.records, {before, after: state.cluster}, state.incarnation)})],
		['first-leases', state => grantFirstLeases(state, {cluster: before, tailSentAtMs}, inputs, settings)],
		['agent-commands', state => commandAgents(state, {event, before}, inputs, settings)],
		['deferred-answers', state => resolveDeferred(state, inputs, settings)],
		['requests', state => withRequest(state, {kind: 'cluster-advanced', readBackKeyHashes: ownKeyHashes(event, state.incarnation)}, inputs, settings)],
		['placement', state => placeOrGiveUp(state, inputs, settings)],
	];
}

function tailParts({reachedTail}: Extract<EntryEvent, {kind: 'log-page'}>, inputs: EventInputs, settings: EntrySettings): readonly Part[] {
	return reachedTail ? [['requests', state => withRequest(state, {kind: 'tail-confirmed'}, inputs, settings)]] : [];
}

function commandAgents(
	state: EntryState,
	{event, before}: Readonly<{event: Extract<EntryEvent, {kind: 'log-page'}>; before: EntryState['cluster']}>,
	inputs: EventInputs,
	settings: EntrySettings,
): EntryTransition {
	const touched = touchedVms(recordsForAgents(event.records), {before, after: state.cluster}, state.incarnation);
	const refreshed: EntryTransition = touched.vmIdsToRefresh?.size === 0
		? {state, effects: []}
		: refreshLinks(state, touched.vmIdsToRefresh, inputs, settings);
	return continueWith(refreshed, startAndAcknowledgeTasks(refreshed.state, touched.claimedTaskIdsByVm, inputs, settings));
}

/** Returns the records that may need a command to an agent: a submitted job needs none until one of its tasks is claimed for a VM. */
function recordsForAgents(records: readonly LoggedRecord[]): readonly LoggedRecord[] {
	return records.filter(({envelope}) => envelope.record.kind !== 'job-submitted');
}

function reduceLogFailure(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'log-failed'}>,
	inputs: EventInputs,
	settings: EntrySettings,
): EntryTransition {
	const effects: EntryEffect[] = state.log.reachable
		? [{
			kind: 'log-event', level: 'warn', event: 'log-unreachable', fields: {reason: event.message},
		}]
		: [];
	const next = {...state, log: {...state.log, reachable: false}};
	return continueWithRequest({state: next, effects}, {kind: 'tail-unavailable'}, inputs, settings);
}

function reduceTick(
	state: EntryState,
	_event: Extract<EntryEvent, {kind: 'tick'}>,
	inputs: EventInputs,
	settings: EntrySettings,
): EntryTransition {
	const isControlDue = inputs.nowMs - state.lastControlTickMs >= controlTickMs;
	return runParts({state, effects: []}, [
		['requests', current => withRequest(current, {kind: 'tick'}, inputs, settings)],
		['placement', current => placeOrGiveUp(current, inputs, settings)],
		...(isControlDue ? controlParts(inputs, settings) : []),
	], inputs);
}

/** Returns the parts of a control tick. Each reads the cluster state alone besides its own state, so that the others go on without it. */
function controlParts(inputs: EventInputs, settings: EntrySettings): readonly Part[] {
	return [
		['control-tick', state => ({state: {...state, lastControlTickMs: inputs.nowMs}, effects: []})],
		['entry-liveness', state => {
			const {state: entryLiveness, effects} = tickEntryLiveness(state.entryLiveness, contextOf(state, inputs, settings));
			return {state: {...state, entryLiveness}, effects: giveUpInHeartbeats(giveUpInHeartbeats(effects, state.failingPlacement), state.evacuations.unread)};
		}],
		['vm-liveness', state => {
			const {state: vmLiveness, effects} = tickVmLiveness(state.vmLiveness, contextOf(state, inputs, settings));
			return {state: {...state, vmLiveness}, effects};
		}],
		['evacuations', state => {
			const {state: evacuations, effects} = tickEvacuations(state.evacuations, contextOf(state, inputs, settings));
			return {state: {...state, evacuations}, effects};
		}],
		['failure-attribution', state => {
			const {state: failureAttribution, effects} = tickFailureAttribution(state.failureAttribution, contextOf(state, inputs, settings));
			return {state: {...state, failureAttribution}, effects};
		}],
		['key-expiry', state => {
			const {state: keyExpiry, effects} = tickKeyExpiry(state.keyExpiry, contextOf(state, inputs, settings));
			return {state: {...state, keyExpiry}, effects};
		}],
		['snapshot', state => {
			const {state: snapshot, effects} = tickSnapshot(state, contextOf(state, inputs, settings));
			return {state: {...state, snapshot}, effects};
		}],
		['due-claims', state => commandDueClaims(state, inputs, settings)],
		['deferred-answers', state => resolveDeferred(state, inputs, settings)],
		['admission', state => tickEntryAdmission(state, inputs.nowMs)],
	];
}

/** Sends the commands of claims that their writers did not send in time. */
function commandDueClaims(state: EntryState, inputs: EventInputs, settings: EntrySettings): EntryTransition {
	const dueClaims: string[] = [];
	for (const [key, readAtMs] of state.claimReadTimes) {
		if (inputs.nowMs - readAtMs >= settings.timings.commandTakeoverMs) {
			dueClaims.push(key);
		}
	}

	// Other commands that depend on time alone are sent when the VM's next heartbeat is handled, by default once a second.
	return refreshLinks({...state, claimReadTimes: state.claimReadTimes.deleteAll(dueClaims)}, vmIdsOfClaims(dueClaims, state.cluster), inputs, settings);
}

/** Returns the VMs of the given claims whose tasks have not started. An entry sends the start command of another entry's claim once it holds no read time of it. */
function vmIdsOfClaims(claimKeys: Iterable<string>, cluster: ClusterState): ReadonlySet<string> {
	const vmIds = new Set<string>();
	for (const key of claimKeys) {
		const task = cluster.tasks.get(key.slice(0, key.indexOf('/')));
		if (task?.claim && task.phase === 'claimed') {
			vmIds.add(task.claim.vmId);
		}
	}

	return vmIds;
}

/**
Returns how long to wait before a snapshot that could not be written is tried again. The pauses grow to a quarter of the usual interval, so that one
is written soon after the store takes it again, long before the newest one and the log behind it expire.
*/
function snapshotRetryPauseMs({failedTries}: EntryState['snapshot'], snapshotEveryMs: number): number {
	return Math.min(firstSnapshotRetryPauseMs * (2 ** (failedTries - 1)), snapshotEveryMs / 4);
}

function tickSnapshot(state: EntryState, context: EntryContext): Readonly<{state: EntryState['snapshot']; effects: readonly EntryEffect[]}> {
	const {snapshot, cluster} = state;
	const {settings, nowMs} = context;
	const newRecords = cluster.offset - snapshot.coversOffset;
	const isRetryDue = snapshot.failedTries === 0 || nowMs - snapshot.triedAtMs >= snapshotRetryPauseMs(snapshot, settings.timings.snapshotEveryMs);
	const isMinIntervalOver = nowMs - snapshot.writtenAtMs >= settings.timings.minSnapshotIntervalMs;
	const isDue = (isMinIntervalOver && newRecords >= settings.snapshotEveryRecords)
		|| (newRecords > 0 && nowMs - snapshot.writtenAtMs >= settings.timings.snapshotEveryMs);
	if (snapshot.isWriting || !isDue || !isRetryDue || !state.log.reachable || rankEntries(cluster.entries.values(), 'snapshot')[0]?.incarnation !== state.incarnation) {
		return {state: snapshot, effects: []};
	}

	return {state: {...snapshot, isWriting: true}, effects: [{kind: 'write-snapshot'}]};
}

function runPlacementPass(state: EntryState, inputs: EventInputs, settings: EntrySettings): EntryTransition {
	// A pass that was left out here is made up for by a later tick.
	if (inputs.nowMs - state.lastPassAtMs < Math.min(maxPassPauseMs, pausePerPass * (inputs.newestPassMs ?? 0))) {
		return {state, effects: []};
	}

	const {evacuationRequests} = inputs;
	if (evacuationRequests === 'unread') {
		// A VM's failure domain may be evacuated without a record in the log, for example when all deciders have just restarted.
		return {state, effects: []};
	}

	const ownContext = contextOf(state, inputs, settings);
	const context = evacuationRequests ? {...ownContext, cluster: withRequests(ownContext.cluster, evacuationRequests)} : ownContext;
	const pass = (): ReturnType<typeof placeQueuedTasks> => placeQueuedTasks(state.placement, {...context, unheardVmIds: unheardVmIds(state, context), runTimes: state.runTimes});
	const transition = inputs.measurePart ? inputs.measurePart('placement', pass) : pass();
	return {
		state: {
			...state, placement: transition.state, lastPassAtMs: inputs.nowMs, failingPlacement: recordPass(state.failingPlacement, inputs.nowMs),
		},
		effects: transition.effects,
	};
}

/** Runs a placement pass. An entry whose passes all fail gives the placement up, and forgets what it alone knows, which may be the cause. */
function placeOrGiveUp(state: EntryState, inputs: EventInputs, settings: EntrySettings): EntryTransition {
	try {
		return runPlacementPass(state, inputs, settings);
	} catch (error) {
		if (inputs.onPartFailed === undefined) {
			throw error;
		}

		inputs.onPartFailed({part: 'placement', error});
		const failingPlacement = recordFailedPass(state.failingPlacement, {nowMs: inputs.nowMs, offset: state.cluster.offset});
		return hasGivenPlacementUp(failingPlacement) && !hasGivenPlacementUp(state.failingPlacement)
			? {
				state: {...state, failingPlacement, placement: initialPlacement},
				effects: [{
					kind: 'log-event',
					level: 'error',
					event: 'placement-given-up',
					fields: {failingMs: Math.round(failingPlacement.untilMs - failingPlacement.sinceMs), offset: failingPlacement.offset},
				}],
			}
			: {state: {...state, failingPlacement}, effects: []};
	}
}

function resolveDeferred(state: EntryState, inputs: EventInputs, settings: EntrySettings): EntryTransition {
	return withDeferred(state, resolveDeferredAnswers(state.deferred, contextOf(state, inputs, settings), admissionOf(state, inputs, settings)));
}

function withDeferred(state: EntryState, {state: deferred, effects, admission}: DeferredTransition): EntryTransition {
	return {state: {...state, deferred, admission: admission ?? state.admission}, effects};
}

/** Records when claims of other entries were read, so that this entry sends their commands if the claiming entry does not. */
function recordClaimTimes(state: EntryState, event: Extract<EntryEvent, {kind: 'log-page'}>, inputs: EventInputs): EntryState {
	const claims = event.records
		.filter(({envelope}) => envelope.record.kind === 'task-claimed' && envelope.incarnation !== state.incarnation);
	const claimReadTimes = state.claimReadTimes.withMutations(times => {
		for (const {envelope: {record}} of claims) {
			if (record.kind === 'task-claimed') {
				times.set(`${record.taskId}/${record.attempt}`, inputs.nowMs);
			}
		}
	});
	return {...state, claimReadTimes};
}

function ownKeyHashes(event: Extract<EntryEvent, {kind: 'log-page'}>, incarnation: string): readonly string[] {
	return event.records.flatMap(({envelope}) =>
		envelope.incarnation === incarnation && envelope.record.kind === 'key-claimed' ? [envelope.record.keyHash] : []);
}

function continueWith(previous: EntryTransition, next: EntryTransition): EntryTransition {
	return {state: next.state, effects: [...previous.effects, ...next.effects]};
}

/** One part of a transition, with its name. */
type Part = readonly [name: string, run: (state: EntryState) => EntryTransition];

/** Runs parts one after the other. A part that throws is reported and leaves the state as it was, so that the parts behind it still run. */
function runParts(first: EntryTransition, parts: readonly Part[], {onPartFailed}: EventInputs): EntryTransition {
	let {state} = first;
	const effects = [...first.effects];
	for (const [part, run] of parts) {
		try {
			const next = run(state);
			state = next.state;
			effects.push(...next.effects);
		} catch (error) {
			if (onPartFailed === undefined) {
				throw error;
			}

			onPartFailed({part, error});
		}
	}

	return {state, effects};
}

function withRequest(state: EntryState, event: RequestEvent, inputs: EventInputs, settings: EntrySettings): EntryTransition {
	return continueWithRequest({state, effects: []}, event, inputs, settings);
}

function continueWithRequest(previous: EntryTransition, event: RequestEvent, inputs: EventInputs, settings: EntrySettings): EntryTransition {
	const {state} = previous;
	const next = reduceRequests(state.requests, event, {
		cluster: state.cluster,
		nowMs: inputs.nowMs,
		tailConfirmedSentAtMs: state.log.tailConfirmedSentAtMs,
		logReachable: state.log.reachable && inputs.nowMs - state.log.tailConfirmedSentAtMs <= settings.timings.logFreshnessMs,
		seed: inputs.seed,
	});
	return {state: {...state, requests: next.state}, effects: [...previous.effects, ...next.effects]};
}
