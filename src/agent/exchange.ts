import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {StoredAnswer, Refusal} from './request-outcome.js';

/** A request as it arrived at the agent. */
export type ExchangeDetails = Readonly<{
	requestId: string;
	/** The caller's method. */
	method: string;
	/** Path and query for the backend server. */
	path: string;
	request: IncomingMessage;
	response: ServerResponse;
	arrivedAtMs: number;
	deadlineMs: number;
}>;

/** One request from an entry, from its arrival to its answer. */
export class Exchange {
	readonly details: ExchangeDetails;
	/** Whether this request is run on the backend server, rather than waits for the result of its key. */
	isExecuted = false;
	/** Whether a byte may have reached the backend server. */
	isSent = false;
	/** Whether the request was aborted before it was sent to the backend server; it is never sent afterwards. */
	isWithdrawn = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(details: ExchangeDetails) {
		this.details = details;
	}

	/** Whether an answer can still be sent. */
	get isOpen(): boolean {
		return !this.details.response.headersSent && !this.details.response.destroyed;
	}

	/** Calls `onOverdue` at the deadline, unless {@link clearDeadline} was called by then. */
	watchDeadline(nowMs: number, onOverdue: () => void): void {
		this.#timer = setTimeout(onOverdue, Math.max(0, this.details.deadlineMs - nowMs));
	}

	/** Stops the deadline timer. */
	clearDeadline(): void {
		clearTimeout(this.#timer);
	}

	/** Sends a refusal as the answer, unless one has begun or the connection is closed. */
	refuse(refusal: Refusal): void {
		this.clearDeadline();
		if (!this.isOpen) {
			return;
		}

		const {outcome, status, kind, message, remedy, retryAfterSeconds} = refusal;
		const body = Buffer.from(JSON.stringify({error: {kind, message, remedy}}));
		this.details.response.writeHead(status, {
			'content-type': 'application/json',
			'content-length': body.length,
			'retry-after': String(retryAfterSeconds),
			'x-arbutushinge-outcome': outcome,
		});
		this.details.response.end(body);
	}

	/** Sends a buffered answer of the backend server. */
	answer(stored: StoredAnswer): void {
		this.clearDeadline();
		if (this.isOpen) {
			this.details.response.writeHead(stored.status, [...stored.headers, 'x-arbutushinge-outcome', 'done']);
			this.details.response.end(stored.body);
		}
	}
}
