import {Map} from 'immutable';
import {mergeLatencyImpacts} from '../agent/latency-impact-estimates.js';
import {pushConfiguration} from '../dispatch/agent-configuration.js';
import {
	cancelUnclaimedTasks, reconcileCommands, sendClaimedTraits, sendCommands,
} from '../dispatch/agent-commands.js';
import {type AgentLink} from '../dispatch/agent-link.js';
import {recordsForBackendServers} from '../dispatch/backend-server-relay.js';
import {acknowledgeTaskEvents, relayTaskEvents} from '../dispatch/task-event-relay.js';
import {type Heartbeat, type Hello} from '../generated/arbutushinge/v1/agent_pb.js';
import {answerHeartbeat, grantFirstLease} from '../membership/lease-grant.js';
import {recordClosedStream} from '../membership/unheard-vms.js';
import {recordAgentMessage} from '../membership/vm-liveness.js';
import {recordColdLeft} from '../placement/cold-vms.js';
import {withFillingSupply} from '../placement/filling-limits.js';
import {observeUsage} from '../placement/observe-usage.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {noResources} from '../cluster/resources.js';
import {mayAppend, pruneAppendGuard} from './append-guard.js';
import {type ControlEffect} from './control-effect.js';
import {type EntryContext} from './entry-context.js';
import {contextOf} from './context-of.js';
import {type EntryEvent, type EventInputs} from './entry-event.js';
import {type EntryState} from './entry-state.js';

type AgentEvent = Extract<EntryEvent, {kind: 'agent-hello' | 'agent-heartbeat' | 'agent-task-events' | 'agent-session-closed'}>;

/** Recorded for a VM whose agent reports no worker incarnation: it has restarted and not received a message from its worker yet. */
const unknownWorkerIncarnation = 'unknown';

type ControlTransition = Readonly<{state: EntryState; effects: readonly ControlEffect[]}>;

/**
Computes the next state after a message on an agent's stream or after the stream's end.

@example
const {state, effects} = reduceAgentEvent(state, {kind: 'agent-session-closed', sessionId}, inputs, settings);
*/
export function reduceAgentEvent(
	state: EntryState,
	event: AgentEvent,
	inputs: EventInputs,
	settings: EntrySettings,
): ControlTransition {
	const context = contextOf(state, inputs, settings);
	switch (event.kind) {
		case 'agent-hello': {
			return openLink(state, event.sessionId, event.hello, context);
		}

		case 'agent-heartbeat': {
			const link = linkOf(state, event.sessionId);
			return link ? recordHeartbeat(state, link, event.heartbeat, context) : {state, effects: []};
		}

		case 'agent-task-events': {
			const link = linkOf(state, event.sessionId);
			if (!link) {
				return {state, effects: []};
			}

			const relayed = relayTaskEvents(link, event.events, context);
			return {state: withLink(state, relayed.link), effects: relayed.effects};
		}

		case 'agent-session-closed': {
			const link = linkOf(state, event.sessionId);
			const vmIdBySession = state.vmIdBySession.delete(event.sessionId);
			if (!link) {
				return {state: {...state, vmIdBySession}, effects: []};
			}

			const placement = {
				...state.placement, fillingRoomByVm: state.placement.fillingRoomByVm.delete(link.vmId), silentVmIds: state.placement.silentVmIds.delete(link.vmId),
				fillingLimits: withFillingSupply(state.placement.fillingLimits, link.vmId, undefined),
			};
			return {
				state: {
					...state, vmIdBySession, links: state.links.delete(link.vmId), closedStreams: recordClosedStream(state.closedStreams, link, context), placement,
				}, effects: [],
			};
		}
	}
}

/**
Sends what the cluster state requires on the streams of the given VMs, or of all VMs: configuration, commands and acknowledgements.
Appends the records that are due: registrations, leaving workers and changes of backend servers.

@example
refreshLinks(state, new Set(['vm-1']), inputs, settings);
*/
export function refreshLinks(
	state: EntryState,
	vmIds: ReadonlySet<string> | undefined,
	inputs: EventInputs,
	settings: EntrySettings,
): ControlTransition {
	const context = contextOf(state, inputs, settings);
	let next: EntryState = {...state, appendGuard: pruneAppendGuard(state.appendGuard, context.tailConfirmedSentAtMs)};
	const effects: ControlEffect[] = [];
	for (const vmId of vmIds ?? state.links.keys()) {
		const link = next.links.get(vmId);
		if (link) {
			const refreshed = refreshLink(next, link, context);
			next = refreshed.state;
			effects.push(...refreshed.effects);
		}
	}

	return {state: next, effects};
}

/**
Grants a lease to the agents whose registration was just read, before the commands that need one, and to those that the log now lists as heard by this entry.

@param before the log as it was read before; all that was read since was appended after `tailSentAtMs`.

@example
grantFirstLeases(state, {cluster, tailSentAtMs: 2000}, inputs, settings);
*/
export function grantFirstLeases(
	state: EntryState,
	before: Readonly<{cluster: EntryState['cluster']; tailSentAtMs: number}>,
	inputs: EventInputs,
	settings: EntrySettings,
): ControlTransition {
	const context = contextOf(state, inputs, settings);
	const effects = [...state.links.values()].flatMap(({vmId, agentIncarnation, heartbeatSequence}) => {
		const vm = state.cluster.vms.get(vmId);
		const former = before.cluster.vms.get(vmId);
		if (heartbeatSequence === undefined || vm?.agentIncarnation !== agentIncarnation) {
			return [];
		}

		const heartbeat = {vmId, agentIncarnation, sequence: heartbeatSequence};
		if (former?.agentIncarnation !== agentIncarnation) {
			return grantFirstLease(heartbeat, {context, tailSentBeforeMs: before.tailSentAtMs});
		}

		return vm.heardBy.has(state.incarnation) && !former.heardBy.has(state.incarnation) ? answerHeartbeat(heartbeat, {context, vmLiveness: state.vmLiveness}) : [];
	});
	return {state, effects};
}

/**
Sends the commands for the given tasks, by VM, and acknowledges the task events that the cluster state now reflects. Sufficient
after a page whose records only claim, start or end attempts.

@example
startAndAcknowledgeTasks(state, new Map([['vm-1', ['task-1']]]), inputs, settings);
*/
export function startAndAcknowledgeTasks(
	state: EntryState,
	claimedByVm: ReadonlyMap<string, readonly string[]>,
	inputs: EventInputs,
	settings: EntrySettings,
): ControlTransition {
	const context = contextOf(state, inputs, settings);
	const effects: ControlEffect[] = [];
	const updatedLinks: AgentLink[] = [];
	for (const link of state.links.values()) {
		const claimedTaskIds = claimedByVm.get(link.vmId) ?? [];
		if (claimedTaskIds.length === 0 && link.pendingTaskEvents.isEmpty()) {
			continue;
		}

		const commanded = sendCommands(link, claimedTaskIds, {claimReadTimes: state.claimReadTimes, latencyImpacts: state.placement.latencyImpacts}, context);
		const acknowledged = acknowledgeTaskEvents(commanded.link, context);
		effects.push(...commanded.effects, ...acknowledged.effects);
		if (acknowledged.link !== link) {
			updatedLinks.push(acknowledged.link);
		}
	}

	const links = state.links.withMutations(mutableLinks => {
		for (const link of updatedLinks) {
			mutableLinks.set(link.vmId, link);
		}
	});
	return {state: {...state, links}, effects};
}

/**
Returns the link of an open stream, or undefined when another stream of the same VM has replaced it.

@example
linkOf(state, sessionId)?.vmId; // => 'vm-1'
*/
export function linkOf(state: EntryState, sessionId: string): AgentLink | undefined {
	const vmId = state.vmIdBySession.get(sessionId);
	const link = vmId === undefined ? undefined : state.links.get(vmId);
	return link?.sessionId === sessionId ? link : undefined;
}

function withLink(state: EntryState, link: AgentLink): EntryState {
	return {...state, links: state.links.set(link.vmId, link)};
}

function openLink(state: EntryState, sessionId: string, hello: Hello, context: EntryContext): ControlTransition {
	const link: AgentLink = {
		vmId: hello.vmId,
		sessionId,
		agentIncarnation: hello.agentIncarnation,
		hello,
		helloReceivedAtMs: context.nowMs,
		isHelloChecked: false,
		heartbeatSequence: undefined,
		appliedConfigurationOffset: -1,
		sentConfiguration: '',
		configuredFrom: undefined,
		backendServers: Map(),
		sentCommands: Map(),
		pendingTaskEvents: Map(),
		leaving: false,
		workerLeaving: false,
	};
	const vmLiveness = recordAgentMessage(state.vmLiveness, hello.vmId, hello.agentIncarnation, context.nowMs);
	const vmIdBySession = state.vmIdBySession.set(sessionId, hello.vmId);
	const closedStreams = state.closedStreams.delete(hello.vmId);
	return refreshLink({
		...withLink(state, link), vmLiveness, vmIdBySession, closedStreams,
	}, link, context);
}

function recordHeartbeat(state: EntryState, link: AgentLink, heartbeat: Heartbeat, context: EntryContext): ControlTransition {
	const updatedLink: AgentLink = {
		...link,
		heartbeatSequence: heartbeat.sequence,
		appliedConfigurationOffset: Number(heartbeat.appliedConfigurationOffset),
		leaving: heartbeat.leaving,
		workerLeaving: heartbeat.workerLeaving,
		backendServers: link.backendServers.merge(heartbeat.backendServers.map(report => [report.backendServerId, report])),
	};
	const vmLiveness = recordAgentMessage(state.vmLiveness, link.vmId, link.agentIncarnation, context.nowMs);
	const observed = observeUsage({estimates: state.placement.interference, history: state.placement.history}, {
		vmId: link.vmId, usage: heartbeat.usage, backendServers: heartbeat.backendServers, receivedAtMs: context.nowMs,
	}, context.cluster);
	const placement = {
		...state.placement, interference: observed.estimates, history: observed.history, latencyImpacts: mergeLatencyImpacts(state.placement.latencyImpacts, heartbeat.presses),
		fillingRoomByVm: heartbeat.fillingRoomMilli === 0 ? state.placement.fillingRoomByVm.delete(link.vmId) : state.placement.fillingRoomByVm.set(link.vmId, heartbeat.fillingRoomMilli),
		coldVms: recordColdLeft(state.placement.coldVms, {vmId: link.vmId, coldLeftMs: heartbeat.coldLeftMs, nowMs: context.nowMs}),
		fillingLimits: withFillingSupply(state.placement.fillingLimits, link.vmId, heartbeat.fillingSupply),
		silentVmIds: heartbeat.workerSilent ? state.placement.silentVmIds.add(link.vmId) : state.placement.silentVmIds.delete(link.vmId),
	};
	const refreshed = refreshLink({...withLink(state, updatedLink), vmLiveness, placement}, updatedLink, context);
	const answers = answerHeartbeat(
		{vmId: link.vmId, agentIncarnation: link.agentIncarnation, sequence: heartbeat.sequence},
		{context, vmLiveness},
	);
	return {state: refreshed.state, effects: [...answers, ...refreshed.effects]};
}

function refreshLink(state: EntryState, link: AgentLink, context: EntryContext): ControlTransition {
	const registration = registerVm(state, link, context);
	const checked = checkHello(link, context);
	const configured = pushConfiguration(checked.link, context);
	const commanded = reconcileCommands(configured.link, {claimReadTimes: state.claimReadTimes, latencyImpacts: state.placement.latencyImpacts}, context);
	const acknowledged = acknowledgeTaskEvents(commanded.link, context);
	const leaving = reportLeavingWorker(registration.state, acknowledged.link, context);
	const reported = reportBackendServers(leaving.state, acknowledged.link, context);
	return {
		state: withLink(reported.state, acknowledged.link),
		effects: [
			...registration.effects,
			...checked.effects,
			...configured.effects,
			...commanded.effects,
			...acknowledged.effects,
			...leaving.effects,
			...reported.effects,
		],
	};
}

function registerVm(state: EntryState, link: AgentLink, context: EntryContext): ControlTransition {
	const {hello} = link;
	const subject = `vm-registered/${hello.agentIncarnation}`;
	const vm = context.cluster.vms.get(link.vmId);
	const isRecorded = vm?.agentIncarnation === hello.agentIncarnation
		|| (vm?.formerAgentIncarnations.includes(hello.agentIncarnation) ?? false);
	// Readers ignore what an entry writes before its own registration.
	const isOwnRegistered = context.cluster.entries.has(context.incarnation);
	if (hello.endsPending || isRecorded || !isOwnRegistered || !mayAppend(state.appendGuard, subject, context.tailConfirmedSentAtMs)) {
		return {state, effects: []};
	}

	const {processorsMilli, memoryMb, accelerators} = hello.capacity ?? noResources;
	return {
		state: {...state, appendGuard: state.appendGuard.set(subject, context.nowMs)},
		effects: [{
			kind: 'append-record',
			record: {
				kind: 'vm-registered',
				vmId: hello.vmId,
				agentIncarnation: hello.agentIncarnation,
				failureDomain: hello.failureDomain,
				rack: hello.rack,
				requestAddress: hello.requestAddress,
				workerIncarnation: hello.workerIncarnation || unknownWorkerIncarnation,
				capacity: {processorsMilli, memoryMb, accelerators},
				runningTasks: hello.runningTasks.map(({taskId, attempt}) => ({taskId, attempt})),
				...(hello.workerLost && {workerLost: true as const}),
				...(hello.service !== '' && {service: hello.service, labels: hello.labels, workerStartedAtMs: Number(hello.workerStartedAtMs)}),
			},
		}, ...(hello.contactLimitMs > 0
			? [{
				kind: 'append-record', record: {
					kind: 'vm-bounds-contact', vmId: hello.vmId, agentIncarnation: hello.agentIncarnation, limitMs: hello.contactLimitMs,
				},
			} satisfies ControlEffect]
			: [])],
	};
}

/**
Compares the tasks in a hello with the claims, once this entry has read the log's tail as of the hello's arrival. A claim precedes the start of its
task, and the start precedes the hello, so that a claim which is not in the log by then does not exist.
*/
function checkHello(link: AgentLink, context: EntryContext): Readonly<{link: AgentLink; effects: readonly ControlEffect[]}> {
	const isRegistered = context.cluster.vms.get(link.vmId)?.agentIncarnation === link.agentIncarnation;
	const isTailRead = context.tailConfirmedSentAtMs > link.helloReceivedAtMs;
	return link.isHelloChecked || !isRegistered || !isTailRead
		? {link, effects: []}
		: {link: {...link, isHelloChecked: true}, effects: [...cancelUnclaimedTasks(link, context), ...sendClaimedTraits(link, context)]};
}

function reportLeavingWorker(state: EntryState, link: AgentLink, context: EntryContext): ControlTransition {
	const {vmId, agentIncarnation} = link;
	const subject = `vm-leaving/${agentIncarnation}`;
	const vm = context.cluster.vms.get(vmId);
	if (!link.workerLeaving || vm?.agentIncarnation !== agentIncarnation || vm.leaving || !mayAppend(state.appendGuard, subject, context.tailConfirmedSentAtMs)) {
		return {state, effects: []};
	}

	return {
		state: {...state, appendGuard: state.appendGuard.set(subject, context.nowMs)},
		effects: [{kind: 'append-record', record: {kind: 'vm-leaving', vmId, agentIncarnation}}],
	};
}

function reportBackendServers(state: EntryState, link: AgentLink, context: EntryContext): ControlTransition {
	const effects: ControlEffect[] = [];
	let {appendGuard} = state;
	for (const record of recordsForBackendServers(link, context)) {
		const subject = `${record.kind}/${link.vmId}/${'backendServerId' in record ? record.backendServerId : ''}`;
		if (mayAppend(appendGuard, subject, context.tailConfirmedSentAtMs)) {
			appendGuard = appendGuard.set(subject, context.nowMs);
			effects.push({kind: 'append-record', record});
		}
	}

	return {state: {...state, appendGuard}, effects};
}
