import {type ClusterState} from '../cluster/cluster-state.js';
import {rankEntries} from '../cluster/rank-entries.js';
import {applyRecords} from '../cluster/reduce-cluster.js';
import {BackendServerPhase} from '../generated/arbutushinge/v1/agent_pb.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {tickEntryLiveness, resetEntryObservation} from '../membership/entry-liveness.js';
import {tickVmLiveness} from '../membership/vm-liveness.js';
import {recordAttemptEnds, tickFailureBlame} from '../placement/failure-blame.js';
import {placeQueuedTasks} from '../placement/place-queued-tasks.js';
import {type RequestEvent} from '../requests/request-event.js';
import {reduceRequests} from '../requests/reduce-requests.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {
	advanceLinks, linkOf, reduceAgentEvent, refreshLinks,
} from './reduce-agent-event.js';
import {askDeferred, resolveDeferredAnswers} from './deferred-answers.js';
import {type EntryContext} from './entry-context.js';
import {contextOf} from './context-of.js';
import {type EntryEffect} from './entry-effect.js';
import {type EntryEvent, type EventInputs} from './entry-event.js';
import {type EntryState} from './entry-state.js';
import {tickKeyExpiry} from './key-expiry.js';
import {logFailedJobs} from './log-failed-job.js';
import {recordTimeline} from './record-timeline.js';
import {touchedVms} from './touched-vms.js';

/** A new state of the entry with the effects of the step. */
export type EntryTransition = Readonly<{state: EntryState; effects: readonly EntryEffect[]}>;

type EventByKind = {readonly [Kind in EntryEvent['kind']]: Extract<EntryEvent, {kind: Kind}>};

type Handler<Kind extends EntryEvent['kind']> = (
	state: EntryState,
	event: EventByKind[Kind],
	inputs: EventInputs,
	settings: EntrySettings,
) => EntryTransition;

/** Time between two rounds of liveness, expiry and reconciliation. */
const controlTickMs = 250;

/** Phases in which an agent refuses new work for a backend server. */
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
	'snapshot-written': (state, event, inputs) => ({
		state: {
			...state,
			snapshot: {
				coversOffset: Math.max(state.snapshot.coversOffset, event.coversOffset),
				writtenAtMs: inputs.nowMs,
				isWriting: false,
			},
		},
		effects: [],
	}),
	'incarnation-started': (state, event) => ({state: {...state, incarnation: event.incarnation}, effects: []}),
	'agent-hello': reduceAgentEvent,
	'agent-heartbeat'(state, event, inputs, settings) {
		const step = reduceAgentEvent(state, event, inputs, settings);
		const link = linkOf(step.state, event.sessionId);
		return link
			? continueWithRequest(step, {
				kind: 'agent-load-reported',
				vmId: link.vmId,
				backendServers: event.heartbeat.backendServers.map(({backendServerId, activeRequests, queuedRequests, phase}) => ({
					backendServerId, activeRequests, queuedRequests, leaving: event.heartbeat.leaving || refusingPhases.has(phase),
				})),
			}, inputs, settings)
			: step;
	},
	'agent-task-events': reduceAgentEvent,
	'agent-session-closed': reduceAgentEvent,
	tick: reduceTick,
	'deferred-asked'(state, event, inputs, settings) {
		const step = askDeferred(state.deferred, event.replyId, event.subject, contextOf(state, inputs, settings));
		return {state: {...state, deferred: step.state}, effects: step.effects};
	},
	request: (state, event, inputs, settings) => continueWithRequest({state, effects: []}, event.event, inputs, settings),
};

/**
Computes the next state of an entry and what its shell has to do. Pure: time, chance and identifiers are inputs.

@example
const {state, effects} = reduceEntry(initialEntryState('a81f…'), {kind: 'tick'}, inputs, settings);
*/
export function reduceEntry(state: EntryState, event: EntryEvent, inputs: EventInputs, settings: EntrySettings): EntryTransition {
	return handle(event.kind, event)(state, inputs, settings);
}

type BoundHandler = (state: EntryState, inputs: EventInputs, settings: EntrySettings) => EntryTransition;

function handle<Kind extends EntryEvent['kind']>(kind: Kind, event: EventByKind[Kind]): BoundHandler {
	return (state, inputs, settings) => handlers[kind](state, event, inputs, settings);
}

function reduceLogPage(
	state: EntryState,
	event: Extract<EntryEvent, {kind: 'log-page'}>,
	inputs: EventInputs,
	settings: EntrySettings,
): EntryTransition {
	const before = state.cluster;
	const cluster = applyRecords(before, event.records);
	const log = {
		tailConfirmedSentAtMs: event.reachedTail
			? Math.max(state.log.tailConfirmedSentAtMs, event.readSentAtMs)
			: state.log.tailConfirmedSentAtMs,
		reachable: true,
	};
	const entryLiveness = state.log.reachable ? state.entryLiveness : resetEntryObservation(state.entryLiveness, inputs.nowMs);
	let step: EntryTransition = {
		state: {
			...noteClaims(state, event, inputs),
			cluster,
			log,
			entryLiveness,
			failureBlame: recordAttemptEnds(state.failureBlame, event.records, before),
		},
		effects: [...recordTimeline(event.records, before, cluster, state.incarnation), ...logFailedJobs(event.records, {before, after: cluster}, state.incarnation)],
	};
	if (event.records.length > 0) {
		const touched = touchedVms(recordsForAgents(event.records), {before, after: cluster}, state.incarnation);
		if (touched.refreshed?.size !== 0) {
			step = continueWith(step, refreshLinks(step.state, touched.refreshed, inputs, settings));
		}

		step = continueWith(step, advanceLinks(step.state, touched.claimed, inputs, settings));
		step = continueWith(step, settleAnswers(step.state, inputs, settings));
		step = continueWithRequest(step, {kind: 'cluster-advanced', readBackKeyHashes: ownKeyHashes(event, state.incarnation)}, inputs, settings);
		step = continueWith(step, place(step.state, inputs, settings));
	}

	return event.reachedTail
		? continueWithRequest(step, {kind: 'tail-confirmed'}, inputs, settings)
		: step;
}

/** A submitted job only waits in a queue, so no agent has anything to do for it until a claim names its VM. */
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
	let step = continueWithRequest({state, effects: []}, {kind: 'tick'}, inputs, settings);
	step = continueWith(step, place(step.state, inputs, settings));
	return inputs.nowMs - state.lastControlTickMs < controlTickMs
		? step
		: continueWith(step, controlTick({...step.state, lastControlTickMs: inputs.nowMs}, inputs, settings));
}

function controlTick(state: EntryState, inputs: EventInputs, settings: EntrySettings): EntryTransition {
	const context = contextOf(state, inputs, settings);
	const entryLiveness = tickEntryLiveness(state.entryLiveness, context);
	const vmLiveness = tickVmLiveness(state.vmLiveness, context);
	const failureBlame = tickFailureBlame(state.failureBlame, context);
	const keyExpiry = tickKeyExpiry(state.keyExpiry, context);
	const snapshot = tickSnapshot(state, context);
	const dueClaims: string[] = [];
	for (const [key, readAtMs] of state.claimReadAtMs) {
		if (inputs.nowMs - readAtMs >= settings.timings.commandTakeoverMs) {
			dueClaims.push(key);
		}
	}

	const next: EntryTransition = {
		state: {
			...state,
			entryLiveness: entryLiveness.state,
			vmLiveness: vmLiveness.state,
			failureBlame: failureBlame.state,
			keyExpiry: keyExpiry.state,
			snapshot: snapshot.state,
			claimReadAtMs: state.claimReadAtMs.deleteAll(dueClaims),
		},
		effects: [...entryLiveness.effects, ...vmLiveness.effects, ...failureBlame.effects, ...keyExpiry.effects, ...snapshot.effects],
	};
	// Everything else that depends on time alone is sent with the answer to a heartbeat, once a second.
	const refreshed = continueWith(next, refreshLinks(next.state, vmIdsOfClaims(dueClaims, state.cluster), inputs, settings));
	return continueWith(refreshed, settleAnswers(refreshed.state, inputs, settings));
}

/** VMs whose agents were not seen to start what another entry claimed; without a time of reading, a claim's command is sent by all. */
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

function tickSnapshot(state: EntryState, context: EntryContext): Readonly<{state: EntryState['snapshot']; effects: readonly EntryEffect[]}> {
	const {snapshot, cluster} = state;
	const {settings, nowMs} = context;
	const newRecords = cluster.offset - snapshot.coversOffset;
	const isEncodable = nowMs - snapshot.writtenAtMs >= settings.timings.minSnapshotIntervalMs;
	const isDue = (isEncodable && newRecords >= settings.snapshotEveryRecords)
		|| (newRecords > 0 && nowMs - snapshot.writtenAtMs >= settings.timings.snapshotEveryMs);
	if (snapshot.isWriting || !isDue || !state.log.reachable || rankEntries(cluster.entries.values(), 'snapshot')[0]?.incarnation !== state.incarnation) {
		return {state: snapshot, effects: []};
	}

	return {state: {...snapshot, isWriting: true}, effects: [{kind: 'write-snapshot'}]};
}

function place(state: EntryState, inputs: EventInputs, settings: EntrySettings): EntryTransition {
	const context = contextOf(state, inputs, settings);
	const pass = (): ReturnType<typeof placeQueuedTasks> => placeQueuedTasks(state.placement, context);
	const step = inputs.measurePart ? inputs.measurePart('placement', pass) : pass();
	return {state: {...state, placement: step.state}, effects: step.effects};
}

function settleAnswers(state: EntryState, inputs: EventInputs, settings: EntrySettings): EntryTransition {
	const step = resolveDeferredAnswers(state.deferred, contextOf(state, inputs, settings));
	return {state: {...state, deferred: step.state}, effects: step.effects};
}

/** Remembers when claims of other entries were read, for the takeover of their commands. */
function noteClaims(state: EntryState, event: Extract<EntryEvent, {kind: 'log-page'}>, inputs: EventInputs): EntryState {
	const claims = event.records
		.filter(({envelope}) => envelope.record.kind === 'task-claimed' && envelope.incarnation !== state.incarnation);
	const claimReadAtMs = state.claimReadAtMs.withMutations(times => {
		for (const {envelope: {record}} of claims) {
			if (record.kind === 'task-claimed') {
				times.set(`${record.taskId}/${record.attempt}`, inputs.nowMs);
			}
		}
	});
	return {...state, claimReadAtMs};
}

function ownKeyHashes(event: Extract<EntryEvent, {kind: 'log-page'}>, incarnation: string): readonly string[] {
	return event.records.flatMap(({envelope}) =>
		envelope.incarnation === incarnation && envelope.record.kind === 'key-claimed' ? [envelope.record.keyHash] : []);
}

function continueWith(step: EntryTransition, next: EntryTransition): EntryTransition {
	return {state: next.state, effects: [...step.effects, ...next.effects]};
}

function continueWithRequest(step: EntryTransition, event: RequestEvent, inputs: EventInputs, settings: EntrySettings): EntryTransition {
	const {state} = step;
	const next = reduceRequests(state.requests, event, {
		cluster: state.cluster,
		nowMs: inputs.nowMs,
		tailConfirmedSentAtMs: state.log.tailConfirmedSentAtMs,
		logReachable: state.log.reachable && inputs.nowMs - state.log.tailConfirmedSentAtMs <= settings.timings.logFreshnessMs,
		seed: inputs.seed,
	});
	return {state: {...state, requests: next.state}, effects: [...step.effects, ...next.effects]};
}
