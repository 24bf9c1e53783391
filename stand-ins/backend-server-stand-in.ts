import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {hashBody, requestIdOf, type EchoAnswer} from './echo-answer.js';
import {type BackendServerJournal} from './journal.js';
import {fetchJson, sendJson} from './json-client.js';
import {listenLocally} from './json-server.js';

/** Service time and faults of the backend server; they can be changed at any time. */
export const backendServerFaultsSchema = z.strictObject({
	serviceTimeMs: z.int().min(0),
	/** Additional delay of every answer. */
	lateMs: z.int().min(0),
	/** Every second request takes four times as long, so that answers are sent out of order. */
	outOfOrder: z.boolean(),
	/** The connection of every n-th request is closed in the middle of the answer; 0 for none. */
	cutAnswerEvery: z.int().min(0),
	/** Every request is answered with status 500. */
	failEverything: z.boolean(),
});

export type BackendServerFaults = z.infer<typeof backendServerFaultsSchema>;

/** Interval between two polls of the worker for the server's speed among its neighbours. */
const relativeSpeedPollMs = 100;

const relativeSpeedSchema = z.strictObject({relativeSpeedMilli: z.int().min(1)});

export type BackendServerStandInOptions = Readonly<{
	port?: number;
	backendServerId?: string;
	service?: string;
	/** URL at which the agent receives announcements; without it, the server is not announced. */
	agentUrl?: string;
	slots?: number;
	connections?: number;
	announceMs?: number;
	serviceTimeMs?: number;
	/** Round-trip time between the entry's failure domain and this one, added to each answer. */
	networkDelayMs?: number;
	/** URL of the worker on the same VM, whose tasks slow this server down; without it, the server always runs at full speed. */
	workerUrl?: string;
	/** Key of this server in the worker's interference table. */
	workKind?: string;
	/** Timeout of the `/leaving` request, which the agent answers once the server is drained. */
	leavingTimeoutMs?: number;
}>;

/** A running stand-in of a backend server. */
export type BackendServerStandIn = Readonly<{
	url: string;
	faults: Readonly<BackendServerFaults>;
	setFaults: (faults: Partial<BackendServerFaults>) => void;
	journal: () => BackendServerJournal;
	/** Reports to the agent that the server leaves, waits until it is drained and closes; returns whether the agent answered with a 2xx status. */
	leave: () => Promise<boolean>;
	/** Closes immediately; requests in flight are counted as cut. */
	close: () => Promise<void>;
}>;

function headerOf(request: IncomingMessage, ...names: readonly string[]): string | undefined {
	for (const name of names) {
		const value = request.headers[name];
		if (typeof value === 'string') {
			return value;
		}
	}

	return undefined;
}

async function readBody(request: AsyncIterable<Uint8Array>): Promise<Buffer> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/**
Starts a stand-in of a backend server. It answers any path with the hash of the request's body and counts how often each request runs.

@example
const backendServer = await createBackendServerStandIn({serviceTimeMs: 5});
await backendServer.close();
*/
export async function createBackendServerStandIn(options: BackendServerStandInOptions = {}): Promise<BackendServerStandIn> {
	const backendServerId = options.backendServerId ?? 'backend-server';
	const faults: BackendServerFaults = {
		serviceTimeMs: options.serviceTimeMs ?? 5, lateMs: 0, outOfOrder: false, cutAnswerEvery: 0, failEverything: false,
	};
	const runsByRequestId = new Map<string, number>();
	const runsByKey = new Map<string, number>();
	let started = 0;
	let answered = 0;
	const inFlight = new Set<ServerResponse>();
	let mostConcurrent = 0;
	let cutByOwnStop = 0;
	let cutByAgent = 0;
	let isClosing = false;
	let relativeSpeedMilli = 1000;

	function journal(): BackendServerJournal {
		return {
			backendServerId,
			started,
			answered,
			cutByOwnStop,
			cutByAgent,
			mostConcurrent,
			runsByRequestId: Object.fromEntries(runsByRequestId),
			runsByKey: Object.fromEntries(runsByKey),
		};
	}

	function setFaults(changes: Partial<BackendServerFaults>): void {
		Object.assign(faults, backendServerFaultsSchema.partial().parse(changes));
	}

	function answerJson(response: ServerResponse, status: number, body: unknown): void {
		const text = JSON.stringify(body);
		response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
		response.end(text);
	}

	async function answerRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const requestNumber = started;
		const path = request.url ?? '/';
		const requestId = requestIdOf(path);
		const key = headerOf(request, 'idempotency-key', 'x-arbutushinge-key');
		const body = await readBody(request);
		runsByRequestId.set(requestId, (runsByRequestId.get(requestId) ?? 0) + 1);
		if (key !== undefined) {
			runsByKey.set(key, (runsByKey.get(key) ?? 0) + 1);
		}

		const serviceTimeMs = faults.outOfOrder && requestNumber % 2 === 1 ? faults.serviceTimeMs * 4 : faults.serviceTimeMs;
		await delay((serviceTimeMs * 1000 / relativeSpeedMilli) + (options.networkDelayMs ?? 0) + faults.lateMs);
		if (faults.failEverything) {
			answerJson(response, 500, {error: 'the backend server fails everything'});
			return;
		}

		const answer: EchoAnswer = {
			requestId, bodyHash: hashBody(body), bodyBytes: body.length, backendServerId, padding: '.'.repeat(body.length),
		};
		if (faults.cutAnswerEvery > 0 && requestNumber % faults.cutAnswerEvery === 0) {
			const text = JSON.stringify(answer);
			response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
			response.write(text.slice(0, Math.ceil(text.length / 2)), () => {
				request.socket.destroy();
			});
			return;
		}

		answerJson(response, 200, answer);
	}

	async function handleControlRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/faults' && request.method === 'PUT') {
			const body = await readBody(request);
			const parsed = backendServerFaultsSchema.partial().safeParse(JSON.parse(body.toString('utf8')));
			if (!parsed.success) {
				answerJson(response, 400, {error: parsed.error.message});
				return;
			}

			setFaults(parsed.data);
		}

		answerJson(response, 200, request.url === '/journal' ? journal() : faults);
	}

	async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			if (request.url === '/journal' || request.url === '/faults') {
				await handleControlRequest(request, response);
				return;
			}

			started++;
			inFlight.add(response);
			mostConcurrent = Math.max(mostConcurrent, inFlight.size);
			response.once('close', () => {
				inFlight.delete(response);
				if (response.writableFinished) {
					answered++;
				} else if (!isClosing) {
					cutByAgent++;
				}
			});
			await answerRequest(request, response);
		} catch {
			// The body ended early: the agent closed the connection.
			request.socket.destroy();
		}
	}

	const server = createServer((request, response) => {
		void handle(request, response);
	});
	// The agent keeps idle connections open; closing one after an idle timeout would race with the agent's next request.
	server.keepAliveTimeout = 600_000;
	const localServer = await listenLocally(server, options.port ?? 0);

	async function announce(): Promise<void> {
		try {
			await sendJson({
				method: 'POST',
				url: `${options.agentUrl}/announce`,
				timeoutMs: 2000,
				body: {
					backendServerId, service: options.service ?? 'service', address: localServer.address, slots: options.slots ?? 8, connections: options.connections ?? 64,
				},
			});
		} catch {
			// The agent may be unreachable; the next announcement is the retry.
		}
	}

	let announceTimer: NodeJS.Timeout | undefined;
	if (options.agentUrl !== undefined) {
		announceTimer = setInterval(() => {
			void announce();
		}, options.announceMs ?? 1000);
		void announce();
	}

	async function pollRelativeSpeed(): Promise<void> {
		try {
			const answer = await fetchJson(relativeSpeedSchema, {url: `${options.workerUrl}/pressure/${options.workKind ?? 'service'}`, timeoutMs: 1000});
			relativeSpeedMilli = answer.relativeSpeedMilli;
		} catch {
			// A worker that does not answer is assumed to run no tasks.
			relativeSpeedMilli = 1000;
		}
	}

	const relativeSpeedPoller = options.workerUrl === undefined
		? undefined
		: setInterval(() => {
			void pollRelativeSpeed();
		}, relativeSpeedPollMs);

	async function close(): Promise<void> {
		clearInterval(announceTimer);
		clearInterval(relativeSpeedPoller);
		// The `finish` event of an answer that the agent has already received may still be pending in this iteration of the event loop.
		await setImmediate();
		if (!isClosing) {
			isClosing = true;
			cutByOwnStop += [...inFlight].filter(response => !response.writableFinished).length;
		}

		await localServer.close();
	}

	return {
		url: localServer.url,
		faults,
		setFaults,
		journal,
		async leave() {
			clearInterval(announceTimer);
			let isDrained = options.agentUrl === undefined;
			if (options.agentUrl !== undefined) {
				try {
					const answer = await sendJson({
						method: 'POST', url: `${options.agentUrl}/leaving`, body: {backendServerId}, timeoutMs: options.leavingTimeoutMs ?? 35_000,
					});
					isDrained = answer.status >= 200 && answer.status < 300;
				} catch {
					// The result reports that the server was not drained.
				}
			}

			await close();
			return isDrained;
		},
		close,
	};
}
