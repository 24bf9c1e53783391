import {type ClusterState} from '../cluster/cluster-state.js';
import {type Job, type Plan} from '../cluster/intent.js';
import {type Heartbeat, type Hello, type TaskEvent} from '../generated/arbutushinge/v1/agent_pb.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {type RequestEvent} from '../requests/request-event.js';
import {type MeasurePart} from './entry-monitor.js';

/** What an operator or a submitter asks for and the log decides. */
export type DeferredSubject
	= | Readonly<{kind: 'plan'; plan: Plan}>
		| Readonly<{kind: 'job'; job: Job}>
		| Readonly<{kind: 'cancel-job'; jobId: string}>;

/** Everything that an entry reacts to. */
export type EntryEvent
	/** A read of the log returned; `reachedTail` means that the state now covers the tail as of `readSentAtMs`. */
	= | Readonly<{kind: 'log-page'; records: readonly LoggedRecord[]; readSentAtMs: number; reachedTail: boolean}>
		| Readonly<{kind: 'log-failed'; message: string}>
	/** A snapshot or a peer's state that is newer than the own one. */
		| Readonly<{kind: 'snapshot-loaded'; cluster: ClusterState}>
		| Readonly<{kind: 'snapshot-written'; coversOffset: number}>
		| Readonly<{kind: 'incarnation-started'; incarnation: string}>
		| Readonly<{kind: 'agent-hello'; sessionId: string; hello: Hello}>
		| Readonly<{kind: 'agent-heartbeat'; sessionId: string; heartbeat: Heartbeat}>
		| Readonly<{kind: 'agent-task-events'; sessionId: string; events: readonly TaskEvent[]}>
		| Readonly<{kind: 'agent-session-closed'; sessionId: string}>
		| Readonly<{kind: 'tick'}>
		| Readonly<{kind: 'deferred-asked'; replyId: string; subject: DeferredSubject}>
		| Readonly<{kind: 'request'; event: RequestEvent}>;

/** Time and chance of one event, added by the shell. */
export type EventInputs = Readonly<{
	nowMs: number;
	wallTimeMs: number;
	seed: number;
	pendingAppends: number;
	/** Times a part of the step for the metrics; the step does not depend on it. */
	measurePart?: MeasurePart;
}>;
