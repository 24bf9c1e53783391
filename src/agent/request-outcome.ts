/** Outcome of a request, the value of the header `X-Arbutushinge-Outcome`. */
export type RequestOutcome = 'done' | 'refused-not-run' | 'failed' | 'outcome-unknown';

/** An answer of the agent in place of the backend server's. */
export type Refusal = Readonly<{
	outcome: Exclude<RequestOutcome, 'done'>;
	status: number;
	kind: string;
	message: string;
	remedy: string;
	retryAfterSeconds: number;
}>;

/** The stored answer to a keyed request, sent to every retry. */
export type StoredAnswer = Readonly<{
	status: number;
	headers: readonly string[];
	body: Uint8Array;
}>;

const refusalsByKind = {
	busy: ['refused-not-run', 503, 'the backend server has no free slot and its queue is full', 'retry after the given time or use another backend server'],
	draining: ['refused-not-run', 503, 'the backend server takes no new work', 'use another backend server'],
	'unknown-backend-server': ['refused-not-run', 503, 'the backend server has not announced itself to this agent', 'use another backend server'],
	unreachable: ['refused-not-run', 503, 'the backend server accepts no connection', 'use another backend server'],
	'deadline-passed': ['refused-not-run', 503, 'the deadline passed before the request was sent', 'retry with a later deadline'],
	'kept-answers-full': ['refused-not-run', 503, 'the memory for kept answers is used up', 'retry after the given time'],
	'bad-request': ['refused-not-run', 400, 'the request lacks a header that the agent needs', 'send request id and backend server, and a claim with a key'],
	'key-released': ['refused-not-run', 503, 'this agent gave the key back without running the request', 'claim the key anew for another backend server'],
	'key-body-mismatch': ['refused-not-run', 422, 'the key was used with another body', 'use a new key for another body'],
	'stale-incarnation': ['outcome-unknown', 504, 'the key is claimed for another agent incarnation', 'find out what became of the work before using a new key'],
	'key-forgotten': ['outcome-unknown', 504, 'the key is older than what this agent remembers', 'find out what became of the work before using a new key'],
	'answer-not-kept': ['outcome-unknown', 504, 'the work ran, but its answer was too large to be kept', 'read the result in another way'],
	'answer-overdue': ['outcome-unknown', 504, 'the deadline passed before the answer arrived', 'retry with the same key, or find out what became of the work'],
	'answer-lost': ['outcome-unknown', 504, 'the backend server may have run the request but gave no whole answer', 'find out what became of the work before sending it again'],
} as const satisfies Record<string, readonly [Refusal['outcome'], number, string, string]>;

/** Reason for which the agent answers in place of the backend server. */
export type RefusalKind = keyof typeof refusalsByKind;

/**
Returns the answer for a reason.

@example
refusalOf('busy').outcome; // => 'refused-not-run'
*/
export function refusalOf(kind: RefusalKind): Refusal {
	const [outcome, status, message, remedy] = refusalsByKind[kind];
	return {
		outcome, status, kind, message, remedy, retryAfterSeconds: 1,
	};
}
