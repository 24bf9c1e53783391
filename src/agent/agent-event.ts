import type {EntryMessage} from '../generated/arbutushinge/v1/agent_pb.js';
import type {WorkerTasks, WorkerUsage} from '../worker/worker-api.js';
import type {Announcement} from './backend-server-table.js';
import type {KeyClaim} from './key-table.js';
import type {StoredAnswer, Refusal} from './request-outcome.js';

/** A request that an entry sent. */
export type ArrivedRequest = Readonly<{
	requestId: string;
	backendServerId: string;
	key: KeyClaim | undefined;
}>;

/** How a request that ran ended: `passed` was streamed to the entry without being stored, `kept` has a stored answer. */
export type RequestSettlement
	= | Readonly<{kind: 'passed'}>
		| Readonly<{kind: 'kept'; answer: StoredAnswer}>
		| Readonly<{kind: 'refused'; refusal: Refusal}>;

/** Events of the agent by kind. Every event also carries `nowMs` of the VM's monotonic clock. */
export type AgentEventPayloads = Readonly<{
	tick: Readonly<{latencies: ReadonlyArray<Readonly<{backendServerId: string; p99Ms: number}>>}>;
	/** The entries to maintain a stream to; they replace those of the event before. */
	'entries-discovered': Readonly<{entryAddresses: readonly string[]}>;
	'entry-connected': Readonly<{entryAddress: string}>;
	'entry-disconnected': Readonly<{entryAddress: string}>;
	'entry-message': Readonly<{entryAddress: string; message: EntryMessage['message']}>;
	'worker-tasks': Readonly<{requestedAtMs: number; list: WorkerTasks}>;
	/** A poll failed: the worker did not list its tasks. */
	'worker-look-failed': Readonly<{
		/** Whether nothing listens at the worker's address. */
		isConnectionRefused: boolean;
		/** Whether no connection was made, for whatever cause, so that a start would not have reached the worker either. */
		isUnreached?: boolean;
	}>;
	'worker-usage': Readonly<{usage: WorkerUsage}>;
	/** An `unsent` start never reached the worker; earlier tries of it may have. */
	'start-answered': Readonly<{taskId: string; attempt: number; result: 'started' | 'refused' | 'unsent' | 'unknown'; reason: string}>;
	/** The worker accepted a stop. */
	'stop-answered': Readonly<{taskId: string}>;
	/** The worker did not apply a processor share, or its answer was lost. */
	'throttle-failed': Readonly<{taskId: string}>;
	/** The VM was suspended; its monotonic clock did not count the time. */
	'vm-resumed': Readonly<{suspendedMs: number}>;
	'incarnation-created': Readonly<{incarnation: string}>;
	'backend-server-announced': Readonly<{announcement: Announcement}>;
	'backend-server-leaving': Readonly<{backendServerId: string}>;
	'request-arrived': Readonly<{request: ArrivedRequest}>;
	'request-settled': Readonly<{requestId: string; settlement: RequestSettlement}>;
	'stop-requested': Readonly<Record<never, never>>;
}>;

export type AgentEventKind = keyof AgentEventPayloads;

/** One event of the given kinds. */
export type AgentEventOf<Kind extends AgentEventKind> = {
	[Each in Kind]: Readonly<{kind: Each; nowMs: number}> & AgentEventPayloads[Each];
}[Kind];

export type AgentEvent = AgentEventOf<AgentEventKind>;
