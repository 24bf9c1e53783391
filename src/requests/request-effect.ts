import {type ClusterRecordOf} from '../cluster/cluster-record.js';
import {type TypedError} from '../errors/typed-error.js';

/** Outcome of an attempt that an entry reports to the caller; only an answer of a backend server has the outcome `done`. */
export type RefusalOutcome = 'refused-not-run' | 'failed' | 'outcome-unknown';

/** An answer that the entry makes itself, without one from a backend server. */
export type RequestAnswer = Readonly<{
	outcome: RefusalOutcome;
	status: number;
	error: TypedError;
	retryAfterMs?: number;
}>;

export type ForwardRequestEffect = Readonly<{
	kind: 'forward-request';
	requestId: string;
	/** Counts the forwards of this request from 1. */
	attempt: number;
	backendServerId: string;
	service: string;
	vmId: string;
	requestAddress: string;
	agentIncarnation: string;
	/** Set for keyed requests: offset of the claim that binds the key to this agent. */
	claimOffset?: number;
	remainingMs: number;
}>;

/** Effects of the request reducer, which the entry's process executes. */
export type RequestEffect
	= | ForwardRequestEffect
		| Readonly<{kind: 'append-record'; record: ClusterRecordOf<'key-claimed' | 'key-released'>}>
	/** Requests one read of the log's tail, sent after this effect; it ends with the event `tail-confirmed` or `tail-unavailable`. */
		| Readonly<{kind: 'confirm-log-tail'}>
		| Readonly<{kind: 'answer-request'; requestId: string}> & RequestAnswer
	/** With the reason `deadline`, an answer that is already being sent to the caller is still completed. */
		| Readonly<{kind: 'cancel-forward'; requestId: string; reason: 'deadline' | 'abandoned'}>;
