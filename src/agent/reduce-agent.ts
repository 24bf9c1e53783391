import {Map as immutableMap} from 'immutable';
import type {AgentConfiguration, LeaseGrant} from '../generated/arbutushinge/v1/agent_pb.js';
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
	grantLease, heartbeatSent, isLeaseExpired, noLease,
} from './lease.js';
import {
	applyFillingShares, applyTraits, throttledTasksOf, fillingMeasurementOf, throttleFailed,
} from './filling-handlers.js';
import {maxRelocatedAttempts, imagesToMove, updateFillingThrottle} from './filling-throttle.js';
import {requestArrived, requestSettled} from './request-handlers.js';
import {
	acknowledge, applyWorkerTasks, cancelAttempt, checkpointAll, dropLiveTasks, evictAttempt, evictTask, hasRunOnceTasks, repeatCalls, startOrRefuseWaitingTasks, startAnswered, startTask, stopAnswered,
} from './task-handlers.js';
import {chain, transition, type Transition} from './transition.js';
import {
	expectWorker, hasListedTasks, isSilent, nextWorkerLeaseDeadlineMs, recordFailedPoll, reasonForLoss,
} from './worker-view.js';

type Step = (state: AgentState) => Transition;

/** Longest wait for entries to acknowledge the last task events at a graceful stop. */
const acknowledgementTimeoutMs = 3000;

/** Ends the incarnation: its run-once tasks stop, and a new one registers after that. */
function endIncarnation(state: AgentState, nowMs: number, reason: string): Transition {
	return chain(
		{...state, phase: 'ending', endingSinceMs: nowMs},
		current => transition(current, {
			kind: 'log', level: 'warn', event: 'incarnation-ended', fields: {incarnation: state.incarnation, reason},
		}, {kind: 'count', metric: 'agent.incarnations.ended'}),
		startOrRefuseWaitingTasks(nowMs),
		current => checkpointAll(current, reason),
	);
}

/** Runs before every event, so that a paused agent finds out about its expired lease before it does anything else. */
function expireLease(nowMs: number): Step {
	return state => state.phase === 'active' && isLeaseExpired(state.lease, nowMs)
		? endIncarnation(state, nowMs, 'the lease expired')
		: transition(state);
}

/** Replaces the incarnation at once, because nothing of the worker process that it counted runs any more. */
function replaceIncarnation(state: AgentState, reason: string): Transition {
	return transition({...dropLiveTasks(state), phase: 'ending', lease: noLease}, {
		kind: 'log', level: 'warn', event: 'incarnation-ended', fields: {incarnation: state.incarnation, workerIncarnation: state.worker.incarnation, reason},
	}, {kind: 'count', metric: 'agent.incarnations.ended'}, {kind: 'create-incarnation'});
}

/**
Gives up the tasks of a worker that is lost, whether or not the agent's own lease goes on: entries renew the lease of an agent that is
well. The new incarnation registers without them, and the VM takes no task until the worker is back.
*/
function settleLostWorker(nowMs: number): Step {
	return state => {
		const {timings} = state.settings;
		const worker = hasListedTasks(state.worker) ? state.worker : expectWorker(state.worker, {nowMs, ...timings});
		const reason = reasonForLoss(worker, {nowMs, ...timings});
		return reason === undefined
			? transition(worker === state.worker ? state : {...state, worker})
			: replaceIncarnation({...state, worker: {...worker, lost: true}}, reason);
	};
}

/** Tells the worker to go on, as far as the lease and the worker's silence allow. */
function renewHold(nowMs: number): Step {
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
		...connected.map((entryAddress): AgentEffect => ({kind: 'send', entryAddress, message: helloMessage(state)})),
	);
}

/** Asks to be registered. The heartbeat lets entries grant a lease with the registration, before they place tasks here. */
function register(state: AgentState, nowMs: number): Transition {
	return chain(state, sendHello, sendHeartbeats(nowMs));
}

function sendHeartbeats(nowMs: number): Step {
	return state => {
		if (state.phase === 'counting' || state.entries.every(link => !link.connected)) {
			return transition(state);
		}

		const sequence = state.heartbeatSequence + 1;
		const next: AgentState = {...state, heartbeatSequence: sequence, lease: heartbeatSent(state.lease, sequence, nowMs)};
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

function runGuard(nowMs: number): Step {
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

/** Takes in a usage report, slows filling work that serving tasks cannot bear, and gives up what would not finish here at that pace. */
function applyUsage(state: AgentState, event: AgentEventOf<'worker-usage'>): Transition {
	const {usage, nowMs} = event;
	const measure = fillingMeasurementOf(state, event);
	if (measure.filling.length === 0 && measure.serving.length === 0) {
		return transition({...state, usage, pace: {...state.pace, fillingRoomMilli: undefined}});
	}

	const pace = updateFillingThrottle(state.pace, measure, throttledTasksOf(state), nowMs);
	const paced: AgentState = {...state, usage, pace};
	if (pace === state.pace) {
		return transition(paced);
	}

	return chain(
		paced,
		applyFillingShares,
		current => pace.shareByImage.equals(state.pace.shareByImage)
			? transition(current)
			: transition(current, {
				kind: 'log', level: 'info', event: 'filling-work-paced', fields: fillingWorkFields(pace, measure),
			}),
		moveStalledTask(nowMs),
	);
}

/** Checkpoints one filling task that is too slow to finish beside the serving tasks of this VM, so that it is placed anew. */
function moveStalledTask(nowMs: number): Step {
	return state => {
		const stalled = new Set(imagesToMove(state.pace, nowMs));
		const task = stalled.size === 0
			? undefined
			: state.tasks.find(({phase, fillsIdle, image, stopping, attempt}) => phase === 'running' && fillsIdle && stalled.has(image) && stopping === undefined && attempt <= maxRelocatedAttempts);
		return task === undefined ? transition(state) : evictTask(state, task.taskId, 'serving tasks leave it too little of the processors here');
	};
}

/** Moves a graceful stop along: requests in flight, then run-once tasks, then acknowledgements. */
function advanceStop(nowMs: number): Step {
	return state => {
		const {stop} = state;
		if (stop === undefined || stop.finished) {
			return transition(state);
		}

		const {drainTimeoutMs} = state.settings.timings;
		if (!stop.tasksStopped && state.settings.tasksAtStop === 'keep') {
			const isDone = state.events.pending.size === 0 && !state.requests.some(request => request.runs);
			return isDone || nowMs - stop.sinceMs >= acknowledgementTimeoutMs
				? transition({...state, stop: {...stop, finished: true}}, {kind: 'finish-stop'})
				: transition(state);
		}

		if (!stop.tasksStopped) {
			return state.requests.some(request => request.runs) && nowMs - stop.sinceMs < drainTimeoutMs
				? transition(state)
				: checkpointAll({...state, stop: {...stop, tasksStopped: true, sinceMs: nowMs}}, 'the agent stops');
		}

		const isReported = !hasRunOnceTasks(state) && state.events.pending.size === 0;
		const limitMs = hasRunOnceTasks(state) ? drainTimeoutMs : acknowledgementTimeoutMs;
		return isReported || nowMs - stop.sinceMs >= limitMs
			? transition({...state, stop: {...stop, finished: true}}, {kind: 'finish-stop'})
			: transition(state);
	};
}

function applyConfiguration(state: AgentState, value: AgentConfiguration): Transition {
	const offset = Number(value.offset);
	if (offset <= state.configuration.offset) {
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
	};
	return chain({...state, configuration}, reconcileBackendServers, current => transition(current, {
		kind: 'log', level: 'info', event: 'configuration-applied', fields: {offset},
	}));
}

function applyGrant(state: AgentState, value: LeaseGrant, nowMs: number): Transition {
	if (state.phase !== 'active') {
		return transition(state);
	}

	const lease = grantLease(state.lease, {sequence: Number(value.heartbeatSequence), durationMs: value.durationMs}, nowMs);
	return lease.deadlineMs === undefined || lease === state.lease
		? transition(state)
		: renewHold(nowMs)({...state, lease});
}

function applyMessage(state: AgentState, {message, nowMs}: AgentEventOf<'entry-message'>): Transition {
	switch (message.case) {
		case 'leaseGrant': {
			return applyGrant(state, message.value, nowMs);
		}

		case 'configuration': {
			return applyConfiguration(state, message.value);
		}

		case 'startTask': {
			return startTask(state, message.value, nowMs);
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
		// The list is of another process, or of one whose tasks are over: so is what the agent knew of them.
		return chain(
			dropLiveTasks(state),
			current => applyWorkerTasks(current, event),
			reconcileBackendServers,
			current => transition({...current, phase: 'ending', lease: noLease}, {kind: 'create-incarnation'}),
		);
	}

	return chain(
		state,
		current => applyWorkerTasks(current, event),
		reconcileBackendServers,
		current => current.phase === 'counting'
			? register({...current, phase: 'active', worker: hasRunOnceTasks(current) ? current.worker : {...current.worker, workerLeaseDeadlineMs: 0}}, event.nowMs)
			: transition(current),
		current => current.phase === 'ending' && event.requestedAtMs > current.endingSinceMs && !hasRunOnceTasks(current)
			? transition(current, {kind: 'create-incarnation'})
			: transition(current),
	);
}

/** Entries hear at once of a worker that is silent, before they place more tasks on the VM. */
function workerLookFailed(state: AgentState, event: AgentEventOf<'worker-look-failed'>): Transition {
	const {nowMs} = event;
	const next: AgentState = {...state, worker: recordFailedPoll(state.worker, event)};
	const isNews = isSilent(next.worker, {nowMs, ...state.settings.timings}) && !isSilent(state.worker, {nowMs, ...state.settings.timings});
	return isNews ? sendHeartbeats(nowMs)(next) : transition(next);
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
		repeatCalls(event.nowMs),
		runGuard(event.nowMs),
		renewHold(event.nowMs),
		sendHeartbeats(event.nowMs),
	),
	'entry-connected': (state, event) => connect(state, event.entryAddress),
	'entries-discovered': (state, event) => transition({
		...state, entries: immutableMap(event.entryAddresses.map(address => [address, state.entries.get(address, closedLink)])),
	}),
	'entry-disconnected': (state, event) => transition(state.entries.has(event.entryAddress) ? {...state, entries: state.entries.set(event.entryAddress, closedLink)} : state),
	'entry-message': applyMessage,
	'worker-tasks': applyWorkerList,
	'worker-look-failed': workerLookFailed,
	'worker-usage': applyUsage,
	'start-answered': startAnswered,
	'stop-answered': stopAnswered,
	'throttle-failed': throttleFailed,
	'incarnation-created': (state, event) => state.phase === 'ending'
		? register({
			...state, phase: 'active', incarnation: event.incarnation, lease: noLease,
		}, event.nowMs)
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
		settleLostWorker(event.nowMs),
		advanceStop(event.nowMs),
		answerLeaving,
		sendDueTaskEvents(event.nowMs),
	);
}
