import {type ClusterRecordOf} from '../cluster/cluster-record.js';
import {type TypedError} from '../errors/typed-error.js';

/** What a caller is told about an attempt; `done` comes from the backend server alone. */
export type RefusalOutcome = 'refused-not-run' | 'failed' | 'outcome-unknown';

/** An answer that the entry gives by itself. */
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

/** What the shell does for the request reducer. */
export type RequestEffect
	= | ForwardRequestEffect
		| Readonly<{kind: 'append-record'; record: ClusterRecordOf<'key-claimed' | 'key-released'>}>
	/** Asks for one read of the log's tail, sent after this effect; its end is `tail-confirmed` or `tail-unavailable`. */
		| Readonly<{kind: 'confirm-log-tail'}>
		| Readonly<{kind: 'answer-request'; requestId: string}> & RequestAnswer
	/** After `deadline`, an answer that already reaches the caller is still completed. */
		| Readonly<{kind: 'cancel-forward'; requestId: string; reason: 'deadline' | 'abandoned'}>;
