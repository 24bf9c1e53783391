import {type ClusterState} from '../cluster/cluster-state.js';
import {type EvacuationRequests} from '../cluster/evacuations.js';
import {type Job, type Plan} from '../cluster/intent.js';
import {type Heartbeat, type Hello, type TaskEvent} from '../generated/arbutushinge/v1/agent_pb.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {type RequestEvent} from '../requests/request-event.js';
import {type MeasurePart} from './entry-monitor.js';

/** Where a submitted job came from, as the entry knows that took the caller's request. */
export type SubmitOrigin = Readonly<{
	/** Failure domain of that entry. */
	callerFailureDomain?: string | undefined;
	/** Set when an earlier attempt to submit the job, whose outcome is not known, may have taken effect. */
	mayHaveRun?: boolean | undefined;
}>;

/** Request of an operator or a caller whose outcome depends on the order of records in the log. */
export type DeferredSubject
	= | Readonly<{kind: 'plan'; plan: Plan}>
		| Readonly<{kind: 'job'; job: Job; origin?: SubmitOrigin}>
		| Readonly<{kind: 'cancel-job'; jobId: string}>;

/** All events that an entry's reducer handles. */
export type EntryEvent
	/** Records that a read of the log returned. With `reachedTail` the state covers the log's tail as of `readSentAtMs`. */
	= | Readonly<{kind: 'log-page'; records: readonly LoggedRecord[]; readSentAtMs: number; reachedTail: boolean}>
		| Readonly<{kind: 'log-failed'; message: string}>
	/** The state of a snapshot or of another entry; ignored unless it is newer than this entry's state. */
		| Readonly<{kind: 'snapshot-loaded'; cluster: ClusterState}>
	/** `coversOffset` is -1 when the snapshot could not be written. */
		| Readonly<{kind: 'snapshot-written'; coversOffset: number}>
		| Readonly<{kind: 'incarnation-started'; incarnation: string}>
		| Readonly<{kind: 'agent-hello'; sessionId: string; hello: Hello}>
		| Readonly<{kind: 'agent-heartbeat'; sessionId: string; heartbeat: Heartbeat}>
		| Readonly<{kind: 'agent-task-events'; sessionId: string; events: readonly TaskEvent[]}>
		| Readonly<{kind: 'agent-session-closed'; sessionId: string}>
		| Readonly<{kind: 'tick'}>
	/** The VM was suspended; its steady clock did not count the time. */
		| Readonly<{kind: 'vm-resumed'; suspendedMs: number}>
		| Readonly<{kind: 'deferred-asked'; replyId: string; subject: DeferredSubject}>
		| Readonly<{kind: 'request'; event: RequestEvent}>;

/** A part of the entry's reducer that threw, or with `offset` the handler of a record. */
export type PartFailure = Readonly<{part: string; offset?: number; error: unknown}>;

/** Inputs that the entry's process adds to each event, so that the reducer stays pure. */
export type EventInputs = Readonly<{
	nowMs: number;
	wallTimeMs: number;
	seed: number;
	pendingAppends: number;
	/** What this process has read of the operator's evacuations; `unread` until then, and left out where operators have no topic. */
	evacuationRequests?: EvacuationRequests | 'unread';
	/** Measures the duration of a part of the reduction for the metrics; it does not affect the result. */
	measurePart?: MeasurePart;
	/** Duration of the newest placement pass in milliseconds; 0 without it. */
	newestPassMs?: number;
	/** Called with a part of the reduction that threw and is left out. Without it, the error is thrown to the caller. */
	onPartFailed?: (failure: PartFailure) => void;
}>;
