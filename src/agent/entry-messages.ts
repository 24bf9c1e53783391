import {BackendServerPhase, type Resources as WireResources} from '../generated/arbutushinge/v1/agent_pb.js';
import {ownerByRendezvous} from '../cluster/rendezvous.js';
import type {Resources} from '../cluster/resources.js';
import type {FillingSupplyReport} from './filling-supply-report.js';
import {changedLatencyImpacts} from './latency-impact-estimates.js';
import type {AgentEffect, AgentMessageBody} from './agent-effect.js';
import type {AgentState, AgentTask, EntryLink} from './agent-state.js';
import {phaseOf, type BackendServer, type BackendServerPhase as Phase} from './backend-server-table.js';
import {sentTaskEvents, takeDueTaskEvents, type PendingTaskEvent} from './task-events.js';
import {transition, type Transition} from './transition.js';
import {isSilent} from './worker-view.js';

/** Time between two usage reports to an entry; 27 tasks with a report each second would exceed 2 KB/s. */
const usageIntervalMs = 5000;

const wirePhases: Readonly<Record<Phase, BackendServerPhase>> = {
	serving: BackendServerPhase.SERVING,
	leaving: BackendServerPhase.LEAVING,
	drained: BackendServerPhase.DRAINED,
	gone: BackendServerPhase.GONE,
};

/** Largest value of a field of 32 bits. */
const maxUint32 = 0xFF_FF_FF_FF;

/** Returns a measured value as a field of 32 bits, the nearest that it can hold; a value that is no number is not known, which is 0. */
const uint32 = (value: number): number => Number.isNaN(value) ? 0 : Math.min(maxUint32, Math.max(0, Math.round(value)));

const wireResources = (resources: Resources): Omit<WireResources, '$typeName' | '$unknown'> => ({...resources});

/** Returns whether a task still holds its claim. An ended task holds it until an entry acknowledges the end; otherwise a new attempt could repeat its work. */
function holdsClaim(state: AgentState, task: AgentTask): boolean {
	return task.phase === 'running'
		|| task.phase === 'starting'
		|| (task.endEventId !== undefined && state.events.pending.has(task.endEventId));
}

/**
Returns the message that registers this incarnation.

@example
helloMessage(state);
*/
export function helloMessage(state: AgentState): AgentMessageBody {
	const {settings} = state;
	return {
		case: 'hello', value: {
			vmId: settings.vmId,
			agentIncarnation: state.incarnation,
			failureDomain: settings.failureDomain,
			rack: state.worker.rack || settings.rack,
			requestAddress: settings.requestAddress,
			workerIncarnation: state.worker.incarnation,
			service: state.worker.service,
			labels: [...state.worker.labels],
			workerStartedAtMs: BigInt(state.worker.startedAtMs),
			workerLost: state.worker.lost,
			contactLimitMs: settings.timings.contactLimitMs,
			endsPending: state.phase === 'collecting',
			capacity: wireResources(state.ledger.capacity),
			runningTasks: [...state.tasks.values()]
				.filter(task => holdsClaim(state, task))
				.map(task => ({taskId: task.taskId, attempt: task.attempt, limit: wireResources(task.limit)})),
		},
	};
}

function backendServerReport(backendServer: BackendServer) {
	return {
		backendServerId: backendServer.backendServerId,
		service: backendServer.service,
		phase: wirePhases[phaseOf(backendServer)],
		slots: backendServer.slots,
		connections: backendServer.connections,
		activeRequests: Math.min(backendServer.requests, backendServer.slots),
		queuedRequests: Math.max(0, backendServer.requests - backendServer.slots),
		latencyP99Ms: uint32(backendServer.latencyP99Ms),
	};
}

function usageReport(state: AgentState, nowMs: number) {
	return state.usage && {
		measuredAgeMs: uint32(nowMs - state.usage.measuredAtMonotonicMs),
		processorsUsedMilli: state.usage.processorsUsedMilli,
		memoryUsedMb: state.usage.memoryUsedMb,
		tasks: state.usage.tasks.map(task => ({...task})),
	};
}

function fillingSupplyMessage({demandMilli, allowedMilli, usedShareMilli, servingTasks, impairedServingTasks}: FillingSupplyReport) {
	return {
		demandMilli: uint32(demandMilli), allowedMilli: uint32(allowedMilli), usedShareMilli: uint32(usedShareMilli), servingTasks: uint32(servingTasks), impairedServingTasks: uint32(impairedServingTasks),
	};
}

/**
Returns the heartbeat for one entry, with the changes since the last one on its stream, and the next state of the link.

@example
const {message, link: next} = heartbeatMessage(state, link, nowMs);
*/
export function heartbeatMessage(state: AgentState, link: EntryLink, nowMs: number): Readonly<{message: AgentMessageBody; link: EntryLink}> {
	const reports = [...state.backendServers.values()].filter(each => each.admitted).map(each => backendServerReport(each));
	const changed = reports.filter(report => link.reported.get(report.backendServerId) !== JSON.stringify(report));
	const isUsageDue = state.usage !== undefined
		&& state.usage.measuredAtMonotonicMs > link.usageMeasuredAtMs
		&& nowMs - link.usageSentAtMs >= usageIntervalMs;
	const {reports: presses, reported: reportedLatencyImpacts} = changedLatencyImpacts(state.fillingThrottle.latencyImpacts, link.reportedLatencyImpacts);
	return {
		message: {
			case: 'heartbeat', value: {
				sequence: BigInt(state.heartbeatSequence),
				appliedConfigurationOffset: BigInt(state.configuration.offset),
				backendServers: changed,
				usage: isUsageDue ? usageReport(state, nowMs) : undefined,
				leaving: state.stop !== undefined,
				workerLeaving: state.worker.leaving,
				presses: presses.map(report => ({...report})),
				fillingRoomMilli: uint32(state.fillingThrottle.fillingRoomMilli ?? 0),
				coldLeftMs: uint32(state.worker.coldUntilMs - nowMs),
				workerSilent: isSilent(state.worker, {nowMs, ...state.settings.timings}),
				fillingSupply: state.fillingThrottle.supplyReport && fillingSupplyMessage(state.fillingThrottle.supplyReport),
			},
		},
		link: {
			...link,
			reported: link.reported.filter((_, id) => state.backendServers.has(id)).merge(changed.map(report => [report.backendServerId, JSON.stringify(report)])),
			usageSentAtMs: isUsageDue ? nowMs : link.usageSentAtMs,
			usageMeasuredAtMs: isUsageDue ? state.usage.measuredAtMonotonicMs : link.usageMeasuredAtMs,
			reportedLatencyImpacts,
		},
	};
}

function taskEventsEffect(entryAddress: string, events: readonly PendingTaskEvent[]): AgentEffect[] {
	return events.length === 0
		? []
		: [{
			kind: 'send', entryAddress, message: {
				case: 'taskEvents', value: {
					events: events.map(event => ({
						eventId: BigInt(event.eventId), taskId: event.taskId, attempt: event.attempt, outcome: event.outcome,
					})),
				},
			},
		}];
}

/**
Returns the effects that send all task events that were sent but not acknowledged to an entry whose stream has just opened. Their next regular
repeat may be 30 s away.

@example
const effects = repeatTaskEvents(state, '127.0.0.1:7100');
*/
export function repeatTaskEvents(state: AgentState, entryAddress: string): readonly AgentEffect[] {
	return taskEventsEffect(entryAddress, sentTaskEvents(state.events));
}

/**
Sends the task events that are due: new ones to one connected entry, unacknowledged ones to all. The entry for new events is chosen by the VM's ID,
so that the writing of the whole fleet's events is spread over the entries.

@example
chain(state, sendDueTaskEvents(nowMs));
*/
export function sendDueTaskEvents(nowMs: number): (state: AgentState) => Transition {
	return state => {
		if (state.events.pending.size === 0 || state.phase === 'counting') {
			return transition(state);
		}

		const connected = [...state.entries.entries()].filter(([, link]) => link.connected).map(([address]) => address);
		const {events, toOne, toAll} = takeDueTaskEvents(state.events, nowMs);
		if (connected.length === 0 || (toOne.length === 0 && toAll.length === 0)) {
			return transition(state);
		}

		const relay = ownerByRendezvous(connected, state.settings.vmId);
		return transition({...state, events}, ...connected.flatMap(address => taskEventsEffect(address, address === relay ? [...toAll, ...toOne] : toAll)));
	};
}
