import {type PriorityClass} from '../cluster/intent.js';

/** `keyed` and `unkeyed` requests are not idempotent; only a key lets a caller repeat one safely. */
export type Idempotency = 'idempotent' | 'keyed' | 'unkeyed';

/** A caller's request without its body. */
export type RequestDescription = Readonly<{
	requestId: string;
	service: string;
	idempotency: Idempotency;
	/** Set for keyed requests: SHA-256 of service and key, in base64url. */
	keyHash?: string;
	/** Set for keyed requests: SHA-256 of method, path, query and body, in base64url. */
	bodyHash?: string;
	priority: PriorityClass;
	caller: string;
	deadlineAtMs: number;
	/** The caller declared that no earlier attempt with this key exists. */
	firstAttempt: boolean;
	arrivedAtMs: number;
}>;

/**
How a forward ended. `canResend`: whether the body can be sent again from its first byte.

`answered`: the whole answer was passed to the caller. `refused-not-run`: the agent reports that it did not run.
`not-sent`: no byte was written. `broken-before-answer`: it may have run, and nothing was passed to the caller.
`broken-in-answer`: the caller's connection was destroyed. `failed` and `outcome-unknown` are outcomes that the agent reports.
*/
export type ForwardResult
	= | Readonly<{kind: 'answered'}>
		| Readonly<{kind: 'refused-not-run'; errorKind: string; status: number; message: string; remedy: string; retryAfterMs?: number; canResend: boolean}>
		| Readonly<{kind: 'not-sent'; message: string; canResend: boolean}>
		| Readonly<{kind: 'broken-before-answer'; message: string; canResend: boolean}>
		| Readonly<{kind: 'broken-in-answer'; message: string}>
		| Readonly<{kind: 'failed'; message: string; canResend: boolean}>
		| Readonly<{kind: 'outcome-unknown'; message: string; canResend: boolean}>;

/** Load of one backend server as its agent reported it. */
export type BackendServerLoad = Readonly<{
	backendServerId: string;
	activeRequests: number;
	queuedRequests: number;
	/** The agent already refuses new work for it, although the log may not contain the record yet. */
	leaving?: boolean;
}>;

/** Every event that concerns callers' requests. */
export type RequestEvent
	= | Readonly<{kind: 'request-arrived'}> & RequestDescription
	/** Records were applied. `readBackKeyHashes`: keys of this entry's own claims among them, accepted or rejected. */
		| Readonly<{kind: 'cluster-advanced'; readBackKeyHashes?: readonly string[]}>
		| Readonly<{kind: 'tail-confirmed'}>
		| Readonly<{kind: 'tail-unavailable'}>
		| Readonly<{kind: 'agent-load-reported'; vmId: string; backendServers: readonly BackendServerLoad[]}>
		| Readonly<{kind: 'forward-finished'; requestId: string; attempt: number; backendServerId: string; result: ForwardResult}>
		| Readonly<{kind: 'request-abandoned'; requestId: string}>
		| Readonly<{kind: 'tick'}>;

export type RequestEventOf<Kind extends RequestEvent['kind']> = Extract<RequestEvent, {kind: Kind}>;
