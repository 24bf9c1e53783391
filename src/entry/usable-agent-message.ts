import {isUsablePress} from '../agent/latency-impact-estimates.js';
import type {
	AgentMessage, Heartbeat, Hello, TaskEvent,
} from '../generated/arbutushinge/v1/agent_pb.js';
import {isAddress} from '../validation/address.js';
import {boundedText} from '../validation/bounded-text.js';
import {maxTimeMs} from '../validation/bounds.js';
import {isName} from '../validation/name.js';

type Body = AgentMessage['message'];

/** A message that the entry can use, and what was wrong with the one that arrived; a message that is refused is missing. */
export type UsableAgentMessage = Readonly<{message: Body | undefined; problems: readonly string[]}>;

/** Most running tasks that a hello may list. They would be part of one record of the log. */
const maxRunningTasks = 10_000;

/** Most labels of a worker, and the longest text of one or of its service, in characters. */
const maxLabels = 64;
const maxLabelLength = 128;

/** Longest reason of an end that is recorded, in characters. */
const maxReasonLength = 500;

/** Longest checkpoint that the log holds, in characters. */
const maxCheckpointLength = 1024;

/** Fields of a hello without which the VM cannot be registered. */
const helloChecks: Readonly<Record<string, (hello: Hello) => boolean>> = {
	vmId: ({vmId}) => isName(vmId),
	agentIncarnation: ({agentIncarnation}) => isName(agentIncarnation),
	failureDomain: ({failureDomain}) => isName(failureDomain),
	rack: ({rack}) => isName(rack),
	requestAddress: ({requestAddress}) => isAddress(requestAddress),
	workerIncarnation: ({workerIncarnation}) => workerIncarnation === '' || isName(workerIncarnation),
	service: ({service}) => service.length <= maxLabelLength,
	runningTasks: ({runningTasks}) => runningTasks.length <= maxRunningTasks,
};

function usableHello(hello: Hello): UsableAgentMessage {
	const refused = Object.entries(helloChecks).find(([, check]) => !check(hello));
	if (refused !== undefined) {
		const [field] = refused;
		const value = field === 'runningTasks' ? hello.runningTasks.length : Object.entries(hello).find(([name]) => name === field)?.[1] as unknown;
		return {message: undefined, problems: [`${field} of the hello cannot be registered: ${boundedText(value)}`]};
	}

	const problems: string[] = [];
	// No claim has such an ID or attempt, so that leaving the task out frees nothing.
	const runningTasks = hello.runningTasks.filter(({taskId, attempt}) => isName(taskId) && attempt > 0);
	if (runningTasks.length < hello.runningTasks.length) {
		problems.push(`${hello.runningTasks.length - runningTasks.length} running tasks have no valid ID or attempt`);
	}

	const hasUsableLabels = hello.labels.length <= maxLabels && hello.labels.every(label => label.length <= maxLabelLength);
	if (!hasUsableLabels) {
		problems.push('the labels are too many or too long');
	}

	const isStartKnown = hello.workerStartedAtMs <= BigInt(maxTimeMs);
	if (!isStartKnown) {
		problems.push(`workerStartedAtMs is out of range: ${hello.workerStartedAtMs}`);
	}

	return {
		message: problems.length === 0
			? {case: 'hello', value: hello}
			: {
				case: 'hello', value: {
					...hello, runningTasks, labels: hasUsableLabels ? hello.labels : [], workerStartedAtMs: isStartKnown ? hello.workerStartedAtMs : 0n,
				},
			},
		problems,
	};
}

function usableHeartbeat(heartbeat: Heartbeat): UsableAgentMessage {
	const backendServers = heartbeat.backendServers.filter(({backendServerId, service}) => isName(backendServerId) && isName(service));
	const presses = heartbeat.presses.filter(press => isUsablePress(press));
	const leftOut = heartbeat.backendServers.length + heartbeat.presses.length - backendServers.length - presses.length;
	return leftOut === 0
		? {message: {case: 'heartbeat', value: heartbeat}, problems: []}
		: {
			message: {case: 'heartbeat', value: {...heartbeat, backendServers, presses}},
			problems: [`${leftOut} reports of backend servers or estimates in the heartbeat have no valid names or numbers`],
		};
}

function usableOutcome({outcome}: TaskEvent, problems: string[]): TaskEvent['outcome'] {
	if (outcome.case !== 'ended' && outcome.case !== 'checkpointed') {
		return outcome;
	}

	const reason = boundedText(outcome.value.reason, maxReasonLength);
	if (outcome.case === 'ended') {
		return {case: 'ended', value: {...outcome.value, reason}};
	}

	const isKept = outcome.value.checkpoint.length <= maxCheckpointLength;
	if (!isKept) {
		problems.push(`a checkpoint of ${outcome.value.checkpoint.length} characters is too long for the log; the task starts over`);
	}

	return {case: 'checkpointed', value: {...outcome.value, reason, checkpoint: isKept ? outcome.value.checkpoint : ''}};
}

/**
Returns an agent's message without the values that the log's readers would refuse, or that would spread to other VMs. A record with one such
value is skipped by every reader, so that the VM would never register, or a claim never end.

@example
const {message, problems} = usableAgentMessage({case: 'hello', value: hello});
*/
export function usableAgentMessage(message: Body): UsableAgentMessage {
	switch (message.case) {
		case 'hello': {
			return usableHello(message.value);
		}

		case 'heartbeat': {
			return usableHeartbeat(message.value);
		}

		case 'taskEvents': {
			const problems: string[] = [];
			const events = message.value.events.map(event => ({...event, outcome: usableOutcome(event, problems)}));
			return {message: {case: 'taskEvents', value: {...message.value, events}}, problems};
		}

		case undefined: {
			return {message, problems: []};
		}
	}
}
