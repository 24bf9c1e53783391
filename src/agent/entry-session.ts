import {setTimeout as delay} from 'node:timers/promises';
import {create, toBinary} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createGrpcTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {messageOf} from '../errors/message-of.js';
import {
	AgentMessageSchema, AgentSession, type AgentMessage, type EntryMessage,
} from '../generated/arbutushinge/v1/agent_pb.js';
import type {EventLog} from '../telemetry/event-log.js';
import {boundedText} from '../validation/bounded-text.js';
import type {AgentMessageBody} from './agent-effect.js';
import {connectWithin} from './connect-within.js';

/** Limit of the messages that wait for a slow entry; beyond it the stream is closed and opened again. */
const maxBacklogMessages = 256;

const firstBackoffMs = 100;

/** Shorter than the time after which entries revoke an unreachable VM. */
const maxBackoffMs = 1000;

/** Entries answer within a few milliseconds. The timeout allows for one lost connection request, which is sent again after one second. */
const connectTimeoutMs = 2000;

/**
Number of unanswered heartbeats after which a stream is closed and opened again. This detects an entry that is frozen, or whose
connection was cut without a TCP reset. The client library's own pings are not used, because their timeout ended the process with an unhandled error.
*/
const maxUnansweredHeartbeats = 5;

/** The agent's stream to one entry. */
export type EntrySession = Readonly<{
	send: (message: AgentMessageBody) => void;
	/** Sends the waiting messages, for at most half a second, and ends the stream. */
	close: () => Promise<void>;
}>;

/** Callbacks for the events of a stream. */
export type EntrySessionHandlers = Readonly<{
	connected: () => void;
	disconnected: (reason: string) => void;
	message: (message: EntryMessage['message']) => void;
}>;

/** Settings of a session. */
export type EntrySessionOptions = Readonly<{random: () => number; heartbeatMs: number; eventLog: EventLog}>;

/** Messages that one stream has not sent yet. */
class Outbox {
	readonly #waiting: AgentMessage[] = [];
	#isClosed = false;
	#wake: (() => void) | undefined;

	/** Returns false when the backlog is full. */
	push(message: AgentMessage): boolean {
		this.#waiting.push(message);
		this.#wake?.();
		return this.#waiting.length <= maxBacklogMessages;
	}

	close(): void {
		this.#isClosed = true;
		this.#wake?.();
	}

	async * [Symbol.asyncIterator](): AsyncGenerator<AgentMessage> {
		for (;;) {
			const next = this.#waiting.shift();
			if (next !== undefined) {
				yield next;
			} else if (this.#isClosed) {
				return;
			} else {
				await new Promise<void>(resolve => {
					this.#wake = resolve;
				});
			}
		}
	}
}

/**
Maintains a bidirectional stream to an entry; after a failure it is opened again, with a jittered backoff. It never rejects: an address that
cannot be used and a handler that throws are logged.

@param entryAddress IP number and port.
@param options `random` returns a number from 0 to 1 for the jitter; `heartbeatMs` is the time between two heartbeats.

@example
const session = openEntrySession('127.0.0.1:7100', handlers, {random: Math.random, heartbeatMs: 1000, eventLog});
session.send(helloMessage(state));
*/
export function openEntrySession(entryAddress: string, handlers: EntrySessionHandlers, options: EntrySessionOptions): EntrySession {
	const {random, heartbeatMs, eventLog} = options;
	const url = `http://${entryAddress}`;
	const closing = new AbortController();
	let outbox: Outbox | undefined;
	let stream: AbortController | undefined;
	let isFailing = false;

	/** Calls a handler; one that cannot use a message must neither end the stream nor lose the messages behind it. */
	function notify(name: keyof EntrySessionHandlers, handle: () => void): void {
		try {
			handle();
		} catch (error) {
			eventLog.warn('entry-event-unusable', {entryAddress, handler: name, reason: boundedText(messageOf(error))});
		}
	}

	/** Logs only the first of consecutive streams that could not be opened. */
	function logFailedStream(reason: string): void {
		if (!isFailing) {
			isFailing = true;
			eventLog.warn('entry-stream-failed', {entryAddress: boundedText(entryAddress), reason: boundedText(reason)});
		}
	}

	/** Returns whether a message can be sent. One that cannot would end the stream, again after each time that it is opened. */
	function isEncodable(message: AgentMessage): boolean {
		try {
			toBinary(AgentMessageSchema, message);
			return true;
		} catch (error) {
			eventLog.error('message-unencodable', {entryAddress, message: message.message.case, reason: boundedText(messageOf(error))});
			return false;
		}
	}

	/** Runs one stream until it ends. Returns whether a message of the entry arrived, which resets the backoff. */
	async function runOnce(): Promise<boolean> {
		let isAnswered = false;
		let reason = 'the entry ended the stream';
		let sessionManager: Http2SessionManager | undefined;
		let silenceTimer: NodeJS.Timeout | undefined;
		try {
			sessionManager = new Http2SessionManager(url);
			if (await connectWithin(sessionManager.connect(), {timeoutMs: connectTimeoutMs, signal: closing.signal}) === 'error') {
				return false;
			}

			const current = new Outbox();
			stream = new AbortController();
			const client = createClient(AgentSession, createGrpcTransport({baseUrl: url, sessionManager, acceptCompression: []}));
			const {signal} = stream;
			silenceTimer = setTimeout(() => {
				reason = 'the entry does not answer heartbeats';
				stream?.abort();
			}, maxUnansweredHeartbeats * heartbeatMs);
			const answers = client.connect(current, {signal});
			outbox = current;
			isFailing = false;
			notify('connected', handlers.connected);
			for await (const answer of answers) {
				isAnswered = true;
				silenceTimer.refresh();
				notify('message', () => {
					handlers.message(answer.message);
				});
			}
		} catch (error) {
			reason = stream?.signal.aborted ? reason : boundedText(messageOf(error));
			if (outbox === undefined) {
				logFailedStream(reason);
			}
		} finally {
			clearTimeout(silenceTimer);
			const wasConnected = outbox !== undefined;
			outbox?.close();
			outbox = undefined;
			sessionManager?.abort();
			if (wasConnected) {
				notify('disconnected', () => {
					handlers.disconnected(reason);
				});
			}
		}

		return isAnswered;
	}

	async function run(): Promise<void> {
		let backoffMs = firstBackoffMs;
		while (!closing.signal.aborted) {
			const wasAnswered = await runOnce();
			backoffMs = wasAnswered ? firstBackoffMs : Math.min(maxBackoffMs, backoffMs * 2);
			try {
				await delay(backoffMs * (0.5 + (random() / 2)), undefined, {signal: closing.signal});
			} catch {
				return;
			}
		}
	}

	const ended = run();
	return {
		send(body) {
			const message = create(AgentMessageSchema, {message: body});
			if (outbox === undefined || !isEncodable(message)) {
				return;
			}

			if (!outbox.push(message)) {
				stream?.abort();
			}
		},
		async close() {
			closing.abort();
			outbox?.close();
			const timer = setTimeout(() => {
				stream?.abort();
			}, 500);
			await ended;
			clearTimeout(timer);
		},
	};
}
