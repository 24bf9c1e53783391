import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {hashBody, requestIdOf, type EchoAnswer} from './echo-answer.js';
import {type BackendServerJournal} from './journal.js';
import {fetchJson, sendJson} from './json-client.js';
import {listenLocally} from './json-server.js';

/** Behaviour of a backend server; it can be changed at any time. */
export const backendServerFaultsSchema = z.strictObject({
	serviceTimeMs: z.int().min(0),
	/** Every answer comes this much later. */
	lateMs: z.int().min(0),
	/** Every second request takes four times as long, so that later requests are answered first. */
	outOfOrder: z.boolean(),
	/** Every n-th connection is cut in the middle of its answer; 0 for none. */
	cutAnswerEvery: z.int().min(0),
	/** Every request is answered 500. */
	failEverything: z.boolean(),
});

export type BackendServerFaults = z.infer<typeof backendServerFaultsSchema>;

/** Time between two reads of the neighbours' effect from the worker. */
const pressureIntervalMs = 100;

const pressureSchema = z.strictObject({relativeSpeedMilli: z.int().min(1)});

export type BackendServerStandInOptions = Readonly<{
	port?: number;
	backendServerId?: string;
	service?: string;
	/** Where the agent takes announcements; without it the server announces itself nowhere. */
	agentUrl?: string;
	slots?: number;
	connections?: number;
	announceMs?: number;
	serviceTimeMs?: number;
	/** Round trip between the entry's failure domain and this one, added to each answer. */
	networkDelayMs?: number;
	/** Worker on the same VM, whose tasks slow this server down; without it nothing does. */
	workerUrl?: string;
	/** Kind of this server in the worker's table of harm. */
	workKind?: string;
	/** Longest wait for the agent's answer to `/leaving`. */
	leavingTimeoutMs?: number;
}>;

/** A running stand-in of a backend server. */
export type BackendServerStandIn = Readonly<{
	url: string;
	faults: Readonly<BackendServerFaults>;
	setFaults: (faults: Partial<BackendServerFaults>) => void;
	journal: () => BackendServerJournal;
	/** Tells the agent that the server leaves, waits until it is drained and closes; false when the agent did not answer 2xx. */
	leave: () => Promise<boolean>;
	/** Closes at once; requests in flight are counted as cut. */
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
Starts a stand-in of a backend server, which answers any path with the hash of the request's body and counts each run.

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

	async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const number = started;
		const path = request.url ?? '/';
		const requestId = requestIdOf(path);
		const key = headerOf(request, 'idempotency-key', 'x-arbutushinge-key');
		const body = await readBody(request);
		runsByRequestId.set(requestId, (runsByRequestId.get(requestId) ?? 0) + 1);
		if (key !== undefined) {
			runsByKey.set(key, (runsByKey.get(key) ?? 0) + 1);
		}

		const serviceTimeMs = faults.outOfOrder && number % 2 === 1 ? faults.serviceTimeMs * 4 : faults.serviceTimeMs;
		await delay((serviceTimeMs * 1000 / relativeSpeedMilli) + (options.networkDelayMs ?? 0) + faults.lateMs);
		if (faults.failEverything) {
			answerJson(response, 500, {error: 'the backend server fails everything'});
			return;
		}

		const answer: EchoAnswer = {
			requestId, bodyHash: hashBody(body), bodyBytes: body.length, backendServerId, padding: '.'.repeat(body.length),
		};
		if (faults.cutAnswerEvery > 0 && number % faults.cutAnswerEvery === 0) {
			const text = JSON.stringify(answer);
			response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
			response.write(text.slice(0, Math.ceil(text.length / 2)), () => {
				request.socket.destroy();
			});
			return;
		}

		answerJson(response, 200, answer);
	}

	async function control(request: IncomingMessage, response: ServerResponse): Promise<void> {
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
				await control(request, response);
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
			await serve(request, response);
		} catch {
			// The body ended early: the agent closed the connection.
			request.socket.destroy();
		}
	}

	const server = createServer((request, response) => {
		void handle(request, response);
	});
	// The agent keeps its connections; a close by idle time would race with its next request.
	server.keepAliveTimeout = 600_000;
	const local = await listenLocally(server, options.port ?? 0);

	async function announce(): Promise<void> {
		try {
			await sendJson({
				method: 'POST',
				url: `${options.agentUrl}/announce`,
				timeoutMs: 2000,
				body: {
					backendServerId, service: options.service ?? 'service', address: local.address, slots: options.slots ?? 8, connections: options.connections ?? 64,
				},
			});
		} catch {
			// The agent may be away; the next announcement reaches it.
		}
	}

	let announcer: NodeJS.Timeout | undefined;
	if (options.agentUrl !== undefined) {
		announcer = setInterval(() => {
			void announce();
		}, options.announceMs ?? 1000);
		void announce();
	}

	async function readPressure(): Promise<void> {
		try {
			const pressure = await fetchJson(pressureSchema, {url: `${options.workerUrl}/pressure/${options.workKind ?? 'service'}`, timeoutMs: 1000});
			relativeSpeedMilli = pressure.relativeSpeedMilli;
		} catch {
			// A worker that is away harms nobody.
			relativeSpeedMilli = 1000;
		}
	}

	const pressureReader = options.workerUrl === undefined
		? undefined
		: setInterval(() => {
			void readPressure();
		}, pressureIntervalMs);

	async function close(): Promise<void> {
		clearInterval(announcer);
		clearInterval(pressureReader);
		// An answer that the agent already has may still wait for its `finish` event in this turn of the event loop.
		await setImmediate();
		if (!isClosing) {
			isClosing = true;
			cutByOwnStop += [...inFlight].filter(response => !response.writableFinished).length;
		}

		await local.close();
	}

	return {
		url: local.url,
		faults,
		setFaults,
		journal,
		async leave() {
			clearInterval(announcer);
			let isDrained = options.agentUrl === undefined;
			if (options.agentUrl !== undefined) {
				try {
					const answer = await sendJson({
						method: 'POST', url: `${options.agentUrl}/leaving`, body: {backendServerId}, timeoutMs: options.leavingTimeoutMs ?? 35_000,
					});
					isDrained = answer.status >= 200 && answer.status < 300;
				} catch {
					// The caller of `leave` learns it from the result.
				}
			}

			await close();
			return isDrained;
		},
		close,
	};
}
