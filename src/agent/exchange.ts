import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {KeptAnswer, Refusal} from './request-outcome.js';

/** What is known of a request when it arrives. */
export type ExchangeParts = Readonly<{
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

/** One request of an entry from its arrival to its answer. */
export class Exchange {
	readonly parts: ExchangeParts;
	/** Whether this request runs, rather than waits for the result of its key. */
	isRunner = false;
	/** Whether a byte may have reached the backend server. */
	isSent = false;
	/** Set when the request was given up before it was sent. */
	isWithdrawn = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(parts: ExchangeParts) {
		this.parts = parts;
	}

	/** Whether an answer can still be given. */
	get isOpen(): boolean {
		return !this.parts.response.headersSent && !this.parts.response.destroyed;
	}

	/** Calls back at the deadline, unless an answer has begun by then. */
	watchDeadline(nowMs: number, overdue: () => void): void {
		this.#timer = setTimeout(overdue, Math.max(0, this.parts.deadlineMs - nowMs));
	}

	/** Ends the watch over the deadline. */
	settle(): void {
		clearTimeout(this.#timer);
	}

	/** Gives the agent's own answer. */
	refuse(refusal: Refusal): void {
		this.settle();
		if (!this.isOpen) {
			return;
		}

		const {outcome, status, kind, message, remedy, retryAfterSeconds} = refusal;
		const body = Buffer.from(JSON.stringify({error: {kind, message, remedy}}));
		this.parts.response.writeHead(status, {
			'content-type': 'application/json',
			'content-length': body.length,
			'retry-after': String(retryAfterSeconds),
			'x-arbutushinge-outcome': outcome,
		});
		this.parts.response.end(body);
	}

	/** Gives a buffered answer. */
	answer(kept: KeptAnswer): void {
		this.settle();
		if (this.isOpen) {
			this.parts.response.writeHead(kept.status, [...kept.headers, 'x-arbutushinge-outcome', 'done']);
			this.parts.response.end(kept.body);
		}
	}
}
