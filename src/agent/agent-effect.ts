import type {MessageInitShape} from '@bufbuild/protobuf';
import type {AgentMessageSchema} from '../generated/arbutushinge/v1/agent_pb.js';
import type {StartTaskRequest} from '../worker/worker-api.js';
import type {EventFields, EventLog} from '../telemetry/event-log.js';
import type {TimelineEventInput} from '../telemetry/timeline-event.js';
import type {StoredAnswer, Refusal} from './request-outcome.js';

/** Body of a message to an entry. */
export type AgentMessageBody = NonNullable<Exclude<MessageInitShape<typeof AgentMessageSchema>['message'], Readonly<{case: undefined}>>>;

/** Effects that the process runs for the reducer, by kind. */
export type AgentEffectPayloads = Readonly<{
	send: Readonly<{entryAddress: string; message: AgentMessageBody}>;
	/** `workerIncarnation` is the worker process that the attempt was accepted for. */
	'start-task': Readonly<{taskId: string; request: StartTaskRequest; workerIncarnation: string}>;
	'checkpoint-task': Readonly<{taskId: string}>;
	'stop-task': Readonly<{taskId: string}>;
	'delete-task': Readonly<{taskId: string}>;
	'throttle-task': Readonly<{taskId: string; shareMilli: number}>;
	'set-lease': Readonly<{deadlineMonotonicMs: number}>;
	'create-incarnation': Readonly<Record<never, never>>;
	'run-request': Readonly<{requestId: string; keyed: boolean; backendServerId: string; address: string; slots: number; connections: number}>;
	'refuse-request': Readonly<{requestId: string; refusal: Refusal}>;
	'answer-request': Readonly<{requestId: string; answer: StoredAnswer}>;
	'answer-leaving': Readonly<{backendServerId: string}>;
	'forget-backend-server': Readonly<{backendServerId: string}>;
	log: Readonly<{level: keyof EventLog; event: string; fields: EventFields}>;
	count: Readonly<{metric: string}>;
	record: Readonly<{entry: TimelineEventInput}>;
	'finish-stop': Readonly<Record<never, never>>;
}>;

export type AgentEffectKind = keyof AgentEffectPayloads;

/** One effect of the given kinds. */
export type AgentEffectOf<Kind extends AgentEffectKind> = {
	[Each in Kind]: Readonly<{kind: Each}> & AgentEffectPayloads[Each];
}[Kind];

export type AgentEffect = AgentEffectOf<AgentEffectKind>;
