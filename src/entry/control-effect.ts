import {type MessageInitShape} from '@bufbuild/protobuf';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type EntryMessageSchema} from '../generated/arbutushinge/v1/agent_pb.js';
import {type EventFields} from '../telemetry/event-log.js';
import {type TimelineEventInput} from '../telemetry/timeline-event.js';

/** A message to an agent, in the form that the generated code accepts. */
export type AgentCommand = NonNullable<MessageInitShape<typeof EntryMessageSchema>['message']>;

/** Answer to an operator or a caller, sent once the log holds the decision; its result is `unknown` after the timeout, and `refused` for a job that the admission in overload refuses. */
export type DeferredAnswer = Readonly<{
	result: 'accepted' | 'rejected' | 'refused' | 'unknown';
	offset: number;
	reason: string;
	/** When the caller should come back. */
	retryAfterMs?: number;
}>;

/** Effects of the entry's reducer, except those of its part for callers' requests. */
export type ControlEffect
	= | Readonly<{kind: 'append-record'; record: ClusterRecord}>
		| Readonly<{kind: 'send-to-agent'; vmId: string; command: AgentCommand}>
		| Readonly<{kind: 'write-snapshot'}>
		| Readonly<{kind: 'restart-incarnation'; reason: string}>
		| Readonly<{kind: 'answer-deferred'; replyId: string; answer: DeferredAnswer}>
		| Readonly<{kind: 'record-timeline'; entry: TimelineEventInput}>
		| Readonly<{kind: 'log-event'; level: 'debug' | 'info' | 'warn' | 'error'; event: string; fields: EventFields}>
		| Readonly<{kind: 'count-metric'; name: string; count: number}>;

/** A new state of one part of a reducer with the effects to execute. */
export type Transition<State, Effect = ControlEffect> = Readonly<{state: State; effects: readonly Effect[]}>;
