import {Map as immutableMap} from 'immutable';
import type {AgentConfiguration, LeaseGrant} from '../generated/arbutushinge/v1/agent_pb.js';
import {boundedText} from '../validation/bounded-text.js';
import {isName} from '../validation/name.js';
import {advanceStop} from './advance-stop.js';
import {noResources} from './no-resources.js';
import type {AgentEffect} from './agent-effect.js';
import type {AgentEvent, AgentEventKind, AgentEventOf} from './agent-event.js';
import {closedLink, type AgentState, type AppliedConfiguration} from './agent-state.js';
import {
	answerLeaving, backendServerAnnounced, backendServerLeaving, expireBackendServers, reconcileBackendServers,
} from './backend-server-handlers.js';
import {
	heartbeatMessage, helloMessage, repeatTaskEvents, sendDueTaskEvents,
} from './entry-messages.js';
import {fillingWorkFields} from './filling-work-fields.js';
import {updateGuard} from './guard.js';
import {expireKeyResults} from './key-table.js';
import {
	extendLease, recordHeartbeatSent, isLeaseExpired, maxLeaseMs, noLease, shortenLease,
} from './lease.js';
import {
	applyFillingShares, applyTraits, throttledTasksOf, fillingMeasurementOf, throttleFailed,
} from './filling-handlers.js';
import {maxRelocatedAttempts, imagesToMove, updateFillingThrottle} from './filling-throttle.js';
import {requestArrived, requestSettled} from './request-handlers.js';
import {
	acknowledge, applyWorkerTasks, cancelAttempt, checkpointRunOnceTasks, dropLiveTasks, evictAttempt, evictTask, hasRunOnceTasks, repeatCalls,
	startOrRefuseWaitingTasks, startAnswered, startTask, stopAnswered, stopUnansweredStarts,
} from './task-handlers.js';
import {chain, transition, type Transition} from './transition.js';
import {
	assumeForeignLease, assumeWorkerLease, hasListedTasks, isSilent, nextWorkerLeaseDeadlineMs, recordFailedPoll, reasonForLoss,
} from './worker-view.js';

type StateUpdate = (state: AgentState) => Transition;

/** Ends the incarnation: its run-once tasks are stopped before a new incarnation registers. */
function endIncarnation(state: AgentState, nowMs: number, reason: string): Transition {
	return chain(
		{...state, phase: 'ending', endingSinceMs: nowMs},
		current => transition(current, {
			kind: 'log', level: 'warn', event: 'incarnation-ended', fields: {incarnation: state.incarnation, reason},
		}, {kind: 'count', metric: 'agent.incarnations.ended'}),
		startOrRefuseWaitingTasks(nowMs),
		current => checkpointRunOnceTasks(current, reason),
	);
}

/** Runs before every event, so that an agent that was paused detects its expired lease before it does anything else. */
function expireLease(nowMs: number): StateUpdate {
	return state => state.phase === 'active' && isLeaseExpired(state.lease, nowMs)
		? endIncarnation(state, nowMs, 'the lease expired')
		: transition(state);
}

/** Replaces the incarnation at once, because no task of the recorded worker process runs any more. */
function replaceIncarnation(state: AgentState, reason: string): Transition {
	return transition({...dropLiveTasks(state), phase: 'ending', lease: noLease}, {
		kind: 'log', level: 'warn', event: 'incarnation-ended', fields: {incarnation: state.incarnation, workerIncarnation: state.worker.incarnation, reason},
	}, {kind: 'count', metric: 'agent.incarnations.ended'}, {kind: 'create-incarnation'});
}

/**
Abandons the tasks of a lost worker and replaces the incarnation. It does not wait for the agent's own lease to expire, because entries
renew that lease as long as the agent itself answers. The new incarnation registers without the tasks, and the VM accepts no task until
the worker sends a list again.
*/
function abandonLostWorker(nowMs: number): StateUpdate {
	return state => {
		const {timings} = state.settings;
		const worker = hasListedTasks(state.worker) ? state.worker : assumeWorkerLease(state.worker, {nowMs, ...timings});
		const reason = reasonForLoss(worker, {nowMs, ...timings});
		return reason === undefined
			? transition(worker === state.worker ? state : {...state, worker})
			: replaceIncarnation({...state, worker: {...worker, lost: true}}, reason);
	};
}

/** Renews the worker lease, at most until the agent's lease expires, and not for a worker that is silent. */
function renewWorkerLease(nowMs: number): StateUpdate {
	return state => {
		const {workerHoldMs, workerTimeoutMs} = state.settings.timings;
		const deadlineMs = state.phase === 'active'
			? nextWorkerLeaseDeadlineMs(state.worker, {
				leaseDeadlineMs: state.lease.deadlineMs, nowMs, workerHoldMs, workerTimeoutMs,
			})
			: undefined;
		return deadlineMs === undefined
			? transition(state)
			: transition({...state, worker: {...state.worker, workerLeaseDeadlineMs: deadlineMs}}, {kind: 'set-lease', deadlineMonotonicMs: deadlineMs});
	};
}

function sendHello(state: AgentState): Transition {
	const connected = [...state.entries.entries()].filter(([, link]) => link.connected).map(([address]) => address);
	return transition(
		{...state, entries: state.entries.map(link => ({...closedLink, connected: link.connected}))},
		// An entry forgets the events of a former incarnation with its link, and may not have recorded them.
		...connected.flatMap((entryAddress): readonly AgentEffect[] => [{kind: 'send', entryAddress, message: helloMessage(state)}, ...repeatTaskEvents(state, entryAddress)]),
	);
}

/**
Requests registration. The heartbeat lets entries grant a lease with the registration, before they place tasks on this VM. While the worker lists only
some of its ends, the entries are asked to record these instead: a registration that does not name a task frees it, and it may have finished.
*/
function register(state: AgentState, nowMs: number): Transition {
	if (state.worker.listedEnds === 'some' && !state.worker.lost) {
		return state.phase === 'collecting'
			? transition(state)
			: chain({...state, phase: 'collecting'}, sendHello, current => transition(current, {
				kind: 'log', level: 'info', event: 'registration-awaits-ends', fields: {incarnation: state.incarnation, workerIncarnation: state.worker.incarnation},
			}));
	}

	return chain({...state, phase: 'active'}, current => transition(current, {
		kind: 'log', level: 'info', event: 'registration-requested', fields: {incarnation: state.incarnation, workerIncarnation: state.worker.incarnation, tasks: state.tasks.size},
	}), sendHello, sendHeartbeats(nowMs));
}

function sendHeartbeats(nowMs: number): StateUpdate {
	return state => {
		if (state.phase === 'counting' || state.entries.every(link => !link.connected)) {
			return transition(state);
		}

		const sequence = state.heartbeatSequence + 1;
		const next: AgentState = {...state, heartbeatSequence: sequence, lease: recordHeartbeatSent(state.lease, sequence, nowMs)};
		const effects: AgentEffect[] = [];
		const entries = next.entries.map((link, entryAddress) => {
			if (!link.connected) {
				return link;
			}

			const heartbeat = heartbeatMessage(next, link, nowMs);
			effects.push({kind: 'send', entryAddress, message: heartbeat.message});
			return heartbeat.link;
		});
		return transition({...next, entries}, ...effects);
	};
}

function runGuard(nowMs: number): StateUpdate {
	return state => {
		const {guards, timings} = state.settings;
		if (!guards.enabled) {
			return transition(state);
		}

		const usedByTask = new Map(state.usage?.tasks.map(task => [task.taskId, task.processorsUsedMilli]));
		const batchTaskIds = [...state.tasks.values()]
			.filter(task => task.phase === 'running' && !task.latencyCritical && task.stopping === undefined)
			.map(task => task.taskId)
			.toSorted((left, right) => (usedByTask.get(right) ?? 0) - (usedByTask.get(left) ?? 0));
		const beyondTarget = state.backendServers.some(each => {
			const targetMs = state.configuration.services.get(each.service)?.latencyTargetMs ?? 0;
			return !each.gone && targetMs > 0 && each.latencyP99Ms > targetMs;
		});
		const {guard, throttle, evictTaskId} = updateGuard(state.guard, {
			nowMs, beyondTarget, batchTaskIds, usageLagMs: timings.usageLagMs, ...guards,
		});
		return chain(
			{...state, guard},
			current => transition(current, ...throttle ? batchTaskIds.map((taskId): AgentEffect => ({kind: 'throttle-task', taskId, shareMilli: guard.shareMilli})) : []),
			current => transition(current, ...throttle
				? [{
					kind: 'log', level: 'info', event: 'batch-throttled', fields: {shareMilli: guard.shareMilli, tasks: batchTaskIds.length},
				} satisfies AgentEffect]
				: []),
			current => evictTaskId === undefined
				? transition(current)
				: chain(
					current,
					next => evictTask(next, evictTaskId, 'a service is beyond its latency target'),
					next => transition(next, {kind: 'count', metric: 'agent.guard.evictions'}),
				),
		);
	};
}

/**
Records a usage report and throttles filling tasks so that serving tasks stay within their impact budgets. Relocates one filling task that is
too slow to finish here.
*/
function applyUsage(state: AgentState, event: AgentEventOf<'worker-usage'>): Transition {
	const {usage, nowMs} = event;
	const measurement = fillingMeasurementOf(state, event);
	if (measurement.filling.length === 0 && measurement.serving.length === 0) {
		return transition({...state, usage, fillingThrottle: {...state.fillingThrottle, fillingRoomMilli: undefined, supplyReport: undefined}});
	}

	const fillingThrottle = updateFillingThrottle(state.fillingThrottle, measurement, throttledTasksOf(state), nowMs);
	const throttled: AgentState = {...state, usage, fillingThrottle};
	if (fillingThrottle === state.fillingThrottle) {
		return transition(throttled);
	}

	return chain(
		throttled,
		applyFillingShares,
		current => fillingThrottle.shareByImage.equals(state.fillingThrottle.shareByImage)
			? transition(current)
			: transition(current, {
				kind: 'log', level: 'info', event: 'filling-work-paced', fields: fillingWorkFields(fillingThrottle, measurement),
			}),
		relocateSlowTask(nowMs),
	);
}

/** Evicts one filling task that is too slow to finish next to the serving tasks of this VM, so that it is placed again. */
function relocateSlowTask(nowMs: number): StateUpdate {
	return state => {
		const tooSlow = new Set(imagesToMove(state.fillingThrottle, nowMs));
		const task = tooSlow.size === 0
			? undefined
			: state.tasks.find(({phase, fillsIdle, image, stopping, attempt}) => phase === 'running' && fillsIdle && tooSlow.has(image) && stopping === undefined && attempt <= maxRelocatedAttempts);
		return task === undefined ? transition(state) : evictTask(state, task.taskId, 'serving tasks leave it too little of the processors here');
	};
}

/** Leaves a message without effect because a value is one that no entry sends. */
function leaveOut(state: AgentState, message: string, fields: Readonly<Record<string, string | number>>): Transition {
	return transition(state, {
		kind: 'log', level: 'warn', event: 'entry-message-unusable', fields: {message, ...fields},
	}, {kind: 'count', metric: 'agent.messages.unusable'});
}

const isLogOffset = (offset: bigint): boolean => offset <= BigInt(Number.MAX_SAFE_INTEGER);

function applyConfiguration(state: AgentState, value: AgentConfiguration, nowMs: number): Transition {
	if (!isLogOffset(value.offset)) {
		return leaveOut(state, 'configuration', {offset: String(value.offset)});
	}

	const offset = Number(value.offset);
	if (offset < state.configuration.offset || (offset === state.configuration.offset && state.configuration.isReceived)) {
		return transition(state);
	}

	const configuration: AppliedConfiguration = {
		offset,
		services: immutableMap(value.services.map(service => [service.service, {
			latencyTargetMs: service.latencyTargetMs,
			demand: service.demandPerBackendServer === undefined
				? noResources
				: {
					processorsMilli: service.demandPerBackendServer.processorsMilli,
					memoryMb: service.demandPerBackendServer.memoryMb,
					accelerators: service.demandPerBackendServer.accelerators,
				},
		}])),
		drainingBackendServers: value.drainingBackendServers,
		vmDraining: value.vmDraining,
		vmEvacuated: value.vmEvacuated,
		isReceived: true,
	};
	return chain({...state, configuration}, reconcileBackendServers, current => transition(current, {
		kind: 'log', level: 'info', event: 'configuration-applied', fields: {offset, vmEvacuated: value.vmEvacuated || undefined},
	}), stopUnansweredStarts, startOrRefuseWaitingTasks(nowMs));
}

function applyGrant(state: AgentState, value: LeaseGrant, nowMs: number): Transition {
	if (state.phase !== 'active') {
		return transition(state);
	}

	if (value.durationMs > maxLeaseMs) {
		return leaveOut(state, 'leaseGrant', {durationMs: value.durationMs});
	}

	const {heartbeatSequence, durationMs, inContact} = value;
	const {contactLimitMs} = state.settings.timings;
	const lease = extendLease(state.lease, {sequence: Number(heartbeatSequence), durationMs, inContact}, {nowMs, contactLimitMs});
	const isFirst = state.lease.deadlineMs === undefined && lease.deadlineMs !== undefined;
	return lease === state.lease
		? transition(state)
		: chain(
			{...state, lease},
			current => isFirst
				? transition(current, {
					kind: 'log', level: 'info', event: 'first-lease-granted', fields: {incarnation: state.incarnation},
				})
				: transition(current),
			renewWorkerLease(nowMs),
		);
}

function applyMessage(state: AgentState, {message, nowMs}: AgentEventOf<'entry-message'>): Transition {
	switch (message.case) {
		case 'leaseGrant': {
			return applyGrant(state, message.value, nowMs);
		}

		case 'configuration': {
			return applyConfiguration(state, message.value, nowMs);
		}

		case 'startTask': {
			const {taskId, attempt, claimOffset} = message.value;
			return isName(taskId) && attempt > 0 && isLogOffset(claimOffset)
				? startTask(state, message.value, nowMs)
				: leaveOut(state, 'startTask', {taskId: boundedText(taskId), attempt, claimOffset: String(claimOffset)});
		}

		case 'evictTask': {
			return evictAttempt(state, message.value);
		}

		case 'cancelTask': {
			return cancelAttempt(state, message.value);
		}

		case 'acknowledgeTaskEvents': {
			return acknowledge(state, message.value.eventIds.map(Number));
		}

		case 'claimedTraits': {
			return applyTraits(state, message.value.claims.map(({taskId, traits}) => ({
				taskId, latencyTargetMs: traits?.latencyTargetMs ?? 0, fillsIdle: traits?.fillsIdle ?? false, fillingMilli: traits?.fillingMilli ?? 0, image: traits?.image ?? '',
			})));
		}

		case 'revoked': {
			return state.phase === 'active' && message.value.agentIncarnation === state.incarnation
				? endIncarnation(state, nowMs, 'the incarnation was revoked')
				: transition(state);
		}

		case undefined: {
			return transition(state);
		}
	}
}

function applyWorkerList(state: AgentState, event: AgentEventOf<'worker-tasks'>): Transition {
	if (state.phase !== 'counting' && (state.worker.lost || state.worker.incarnation !== event.list.workerIncarnation)) {
		// The list comes from a new process, or from one that was lost: the tasks that the agent has recorded have stopped.
		const isForeignWork = state.worker.incarnation !== event.list.workerIncarnation && event.list.tasks.some(({phase}) => phase === 'running');
		const worker = isForeignWork ? assumeForeignLease(state.worker, {nowMs: event.nowMs, ...state.settings.timings}) : state.worker;
		return chain(
			dropLiveTasks({...state, worker}),
			current => applyWorkerTasks(current, event),
			reconcileBackendServers,
			current => transition({...current, phase: 'ending', lease: noLease}, {kind: 'create-incarnation'}),
		);
	}

	const worker = hasListedTasks(state.worker) ? state.worker : assumeWorkerLease(state.worker, {nowMs: event.nowMs, ...state.settings.timings});
	return chain(
		{...state, worker},
		current => applyWorkerTasks(current, event),
		reconcileBackendServers,
		current => current.phase === 'counting' || current.phase === 'collecting'
			? register({...current, worker: hasRunOnceTasks(current) ? current.worker : {...current.worker, workerLeaseDeadlineMs: 0}}, event.nowMs)
			: transition(current),
		current => current.phase === 'ending' && event.requestedAtMs > current.endingSinceMs && !hasRunOnceTasks(current)
			? transition(current, {kind: 'create-incarnation'})
			: transition(current),
	);
}

/** Records a failed poll of the worker. When the worker becomes silent, heartbeats are sent at once, before entries place more tasks on the VM. */
function workerPollFailed(state: AgentState, event: AgentEventOf<'worker-look-failed'>): Transition {
	const {nowMs} = event;
	const next: AgentState = {...state, worker: recordFailedPoll(state.worker, event)};
	const becameSilent = isSilent(next.worker, {nowMs, ...state.settings.timings}) && !isSilent(state.worker, {nowMs, ...state.settings.timings});
	return becameSilent ? sendHeartbeats(nowMs)(next) : transition(next);
}

function connect(state: AgentState, entryAddress: string): Transition {
	return transition(
		{...state, entries: state.entries.set(entryAddress, {...closedLink, connected: true})},
		...state.phase === 'counting'
			? []
			: [{kind: 'send', entryAddress, message: helloMessage(state)} satisfies AgentEffect, ...repeatTaskEvents(state, entryAddress)],
	);
}

const handlers: Readonly<{[Kind in AgentEventKind]: (state: AgentState, event: AgentEventOf<Kind>) => Transition}> = {
	tick: (state, event) => chain(
		{
			...state,
			backendServers: state.backendServers.merge(event.latencies.flatMap(({backendServerId, p99Ms}) => {
				const backendServer = state.backendServers.get(backendServerId);
				return backendServer === undefined ? [] : [[backendServerId, {...backendServer, latencyP99Ms: p99Ms}]];
			})),
			keys: expireKeyResults(state.keys, {nowMs: event.nowMs, retentionMs: state.settings.timings.keyRetentionMs}),
		},
		expireBackendServers(event.nowMs),
		reconcileBackendServers,
		stopUnansweredStarts,
		repeatCalls(event.nowMs),
		runGuard(event.nowMs),
		renewWorkerLease(event.nowMs),
		sendHeartbeats(event.nowMs),
	),
	'entry-connected': (state, event) => connect(state, event.entryAddress),
	'entries-discovered': (state, event) => transition({
		...state, entries: immutableMap(event.entryAddresses.map(address => [address, state.entries.get(address, closedLink)])),
	}),
	'entry-disconnected': (state, event) => transition(state.entries.has(event.entryAddress) ? {...state, entries: state.entries.set(event.entryAddress, closedLink)} : state),
	'entry-message': applyMessage,
	'worker-tasks': applyWorkerList,
	'worker-look-failed': workerPollFailed,
	'worker-usage': applyUsage,
	'start-answered': startAnswered,
	'stop-answered': stopAnswered,
	'throttle-failed': throttleFailed,
	'vm-resumed': (state, {suspendedMs}) => transition({...state, lease: shortenLease(state.lease, suspendedMs)}, {
		kind: 'log', level: 'warn', event: 'vm-resumed', fields: {suspendedMs: Math.round(suspendedMs)},
	}),
	'incarnation-created': (state, event) => state.phase === 'ending'
		? register({...state, incarnation: event.incarnation, lease: noLease}, event.nowMs)
		: transition(state),
	'backend-server-announced': (state, event) => backendServerAnnounced(state, event.announcement, event.nowMs),
	'backend-server-leaving': (state, event) => backendServerLeaving(state, event.backendServerId),
	'request-arrived': requestArrived,
	'request-settled': requestSettled,
	'stop-requested': (state, event) => state.stop === undefined
		? chain({...state, stop: {sinceMs: event.nowMs, tasksStopped: false, finished: false}}, startOrRefuseWaitingTasks(event.nowMs), reconcileBackendServers, sendHeartbeats(event.nowMs))
		: transition(state),
};

function handle<Kind extends AgentEventKind>(state: AgentState, event: AgentEventOf<Kind>): Transition {
	return handlers[event.kind](state, event);
}

/**
Applies one event to the agent's state. The function is pure: time and identifiers arrive in events.

@example
const {state, effects} = reduceAgent(initialAgentState(settings, incarnation), {kind: 'tick', nowMs: 5000, latencies: []});
*/
export function reduceAgent(state: AgentState, event: AgentEvent): Transition {
	return chain(
		state,
		expireLease(event.nowMs),
		current => handle(current, event),
		abandonLostWorker(event.nowMs),
		advanceStop(event.nowMs),
		answerLeaving,
		sendDueTaskEvents(event.nowMs),
	);
}
