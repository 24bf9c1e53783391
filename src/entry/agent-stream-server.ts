import {createServer, type Http2Server, type ServerHttp2Session} from 'node:http2';
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {create} from '@bufbuild/protobuf';
import {type ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {
	AgentSession, type AgentMessage, type EntryMessage, EntryMessageSchema,
} from '../generated/arbutushinge/v1/agent_pb.js';
import {createDefaultIntake} from '../intake/default-intake.js';
import {type Intake} from '../intake/intake.js';
import {messageOf} from '../errors/message-of.js';
import {type EventLog} from '../telemetry/event-log.js';
import {boundedText} from '../validation/bounded-text.js';
import {type AgentCommand} from './control-effect.js';
import {type EntryEvent} from './entry-event.js';
import {createMessageQueue, type MessageQueue} from './message-queue.js';
import {usableAgentMessage} from './usable-agent-message.js';

/** Accepts the agents' streams, dispatches their messages as events and sends commands. */
export type AgentStreamServer = Readonly<{
	listen: () => Promise<void>;
	/** Sends a command; returns false when the VM has no stream to this entry or the stream's queue is full. */
	send: (vmId: string, command: AgentCommand) => boolean;
	close: () => Promise<void>;
}>;

/** Longest description of the problems of one message, in characters. */
const maxProblemLength = 300;

/** Messages are a few hundred bytes; compression took a third of the entry's processor time. */
const noCompression: [] = [];

/** Largest message of an agent. One that reports a thousand tasks has about 100 KB. */
const maxMessageBytes = 4_194_304;

/** Number of commands that may be queued for a slow agent; when the queue is full, the stream is closed and the agent reconnects. */
const maxQueuedCommands = 4096;

/**
Creates the server for the agents' streams.

@example
const server = createAgentStreamServer({address: '127.0.0.1:7002', dispatch, eventLog});
await server.listen();
*/
export function createAgentStreamServer({address, dispatch, eventLog, intake = createDefaultIntake('entry')}: Readonly<{
	address: string;
	dispatch: (event: EntryEvent) => void;
	eventLog: EventLog;
	/** Account of the process. */
	intake?: Intake;
}>): AgentStreamServer {
	const queues = new Map<string, MessageQueue<EntryMessage>>();
	const sessions = new Set<ServerHttp2Session>();

	async function * connect(messages: AsyncIterable<AgentMessage>): AsyncGenerator<EntryMessage> {
		const sessionId = randomUUID();
		const queue = createMessageQueue<EntryMessage>(maxQueuedCommands);
		let vmId: string | undefined;
		let loggedProblem: string | undefined;

		/** Returns whether a problem differs from the last one on the stream; heartbeats repeat theirs. */
		const isNewProblem = (reason: string): boolean => {
			const isNew = reason !== loggedProblem;
			loggedProblem = reason;
			return isNew;
		};

		/** A message that the reducer cannot use must not end the stream, with the messages behind it. */
		const handleMessage = (message: AgentMessage['message']): void => {
			try {
				dispatchMessage(message, sessionId);
			} catch (error) {
				const reason = boundedText(messageOf(error));
				if (isNewProblem(reason)) {
					eventLog.error('agent-message-unusable', {vmId, sessionId, reason});
				}
			}
		};

		const reading = (async () => {
			try {
				for await (const {message: received} of messages) {
					const {message, problems} = usableAgentMessage(received);
					const reason = boundedText(problems.join('; '), maxProblemLength);
					if (message === undefined) {
						eventLog.warn('agent-message-refused', {vmId, sessionId, reason});
						break;
					}

					if (problems.length > 0 && isNewProblem(reason)) {
						eventLog.warn('agent-message-odd', {vmId, sessionId, reason});
					}

					if (message.case === 'hello') {
						vmId = message.value.vmId;
						const previousQueue = queues.get(vmId);
						// A new incarnation of the agent sends its hello on the existing stream.
						if (previousQueue !== queue) {
							previousQueue?.close();
						}

						queues.set(vmId, queue);
					}

					if (vmId !== undefined) {
						handleMessage(message);
					}
				}
			} catch (error: unknown) {
				eventLog.debug('agent-stream-broken', {vmId, reason: boundedText(messageOf(error))});
			} finally {
				queue.close();
			}
		})();

		try {
			yield * queue;
		} finally {
			queue.close();
			if (vmId !== undefined && queues.get(vmId) === queue) {
				queues.delete(vmId);
			}

			dispatch({kind: 'agent-session-closed', sessionId});
		}

		await reading;
	}

	function dispatchMessage(message: AgentMessage['message'], sessionId: string): void {
		switch (message.case) {
			case 'heartbeat': {
				dispatch({kind: 'agent-heartbeat', sessionId, heartbeat: message.value});
				break;
			}

			case 'taskEvents': {
				dispatch({kind: 'agent-task-events', sessionId, events: message.value.events});
				break;
			}

			case 'hello': {
				dispatch({kind: 'agent-hello', sessionId, hello: message.value});
				break;
			}

			case undefined: {
				// A newer agent version may send messages that this entry does not know. They are ignored; the agent's heartbeats are still handled.
				eventLog.warn('agent-message-unknown', {sessionId});
				break;
			}
		}
	}

	function routes(router: ConnectRouter): void {
		router.service(AgentSession, {connect});
	}

	const server: Http2Server = createServer(connectNodeAdapter({routes, acceptCompression: noCompression, readMaxBytes: maxMessageBytes}));
	const connections = intake.connections('agents');
	server.on('session', session => {
		const member = {
			shed() {
				session.destroy();
			},
		};
		if (!connections.claim(member, 1)) {
			session.destroy();
			return;
		}

		sessions.add(session);
		// A connection with an agent's stream is never shed; one without a stream may be.
		session.once('stream', () => {
			connections.complete(member);
		});
		session.on('close', () => {
			sessions.delete(session);
			connections.release(member);
		});
		session.on('error', (error: Error) => {
			eventLog.debug('agent-connection-failed', {reason: error.message});
		});
	});

	return {
		async listen() {
			const [host, port] = address.split(':');
			server.listen(Number(port), host);
			await once(server, 'listening');
		},
		send(vmId, command) {
			const queue = queues.get(vmId);
			if (!queue) {
				return false;
			}

			const isQueued = queue.push(create(EntryMessageSchema, {message: command}));
			if (!isQueued) {
				queue.close();
			}

			return isQueued;
		},
		async close() {
			for (const queue of queues.values()) {
				queue.close();
			}

			const closed = once(server, 'close');
			server.close();
			for (const session of sessions) {
				session.close();
			}

			const destroyTimer = setTimeout(() => {
				for (const session of sessions) {
					session.destroy();
				}
			}, 500);
			await closed;
			clearTimeout(destroyTimer);
		},
	};
}
