import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import polka from 'polka';
import {Result} from 'true-myth';
import * as z from 'zod/mini';
import type {TypedError} from '../errors/typed-error.js';
import {closeAfterAnswer} from '../intake/close-after-answer.js';
import {createDefaultIntake} from '../intake/default-intake.js';
import {guardConnections} from '../intake/guard-connections.js';
import type {Intake} from '../intake/intake.js';
import {readBody} from '../intake/read-body.js';
import {addressSchema} from '../validation/address-schema.js';
import {parseJson} from '../validation/parse-json.js';
import {isName} from '../validation/name.js';
import type {AgentEvent, ArrivedRequest} from './agent-event.js';
import type {BackendServerClient} from './backend-server-client.js';
import type {AgentEffectOf} from './agent-effect.js';
import {Exchange} from './exchange.js';
import type {KeyClaim} from './key-table.js';
import {refusalOf} from './request-outcome.js';

/** Deadline of a request without one, from its arrival. */
const defaultDeadlineMs = 10_000;

/** Largest body of a notice from a backend server. */
const maxNoticeBytes = 4096;

/** Time for a notice to arrive, less than the time without one after which a backend server counts as gone. */
const noticeTimeoutMs = 3000;

/** Longer than the idle time of an entry's pool, so that the entry closes idle connections first. */
const keepAliveTimeoutMs = 65_000;

/** Most slots or connections of one backend server. */
const maxSlots = 1_000_000;

/** Longest deadline of a request, which callers cannot exceed either; a timer holds 24 days at most, and ends at once beyond that. */
const maxDeadlineMs = 3_600_000;

const nameSchema = z.string().check(z.refine(isName, 'use 1 to 128 letters, digits, dots, colons, hyphens or underscores'));
const slotsSchema = z.int().check(z.positive(), z.maximum(maxSlots));

const announcementSchema = z.readonly(z.object({
	backendServerId: nameSchema,
	service: nameSchema,
	address: addressSchema,
	slots: slotsSchema,
	connections: slotsSchema,
}));

const leavingSchema = z.readonly(z.object({backendServerId: nameSchema}));

/** Effects that answer requests of entries and backend servers. */
export type RequestEffectKind = 'run-request' | 'refuse-request' | 'answer-request' | 'answer-leaving';

/** The port for entries and for the backend servers of this VM. */
export type RequestServer = Readonly<{
	/** The opened port; differs from the settings when their port is 0. */
	port: number;
	execute: (effect: AgentEffectOf<RequestEffectKind>) => void;
	close: () => Promise<void>;
}>;

type Options = Readonly<{
	requestAddress: string;
	headerBytes: number;
	client: BackendServerClient;
	nowMs: () => number;
	dispatch: (event: AgentEvent) => void;
	health: () => Readonly<Record<string, unknown>>;
	timeline: (fromSequence: number) => readonly unknown[];
	/** Account of the process. */
	intake?: Intake;
}>;

function headerOf(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[`x-arbutushinge-${name}`];
	return Array.isArray(value) ? value[0] : value;
}

/** Returns the claim of a keyed request, `undefined` when the request has no key, or `null` when a part of the claim is missing. */
function keyOf(request: IncomingMessage): KeyClaim | undefined | null {
	const keyHash = headerOf(request, 'key');
	if (keyHash === undefined) {
		return undefined;
	}

	const bodyHash = headerOf(request, 'body-hash');
	const agentIncarnation = headerOf(request, 'agent-incarnation');
	const claimOffset = Number(headerOf(request, 'claim-offset') ?? Number.NaN);
	return bodyHash === undefined || agentIncarnation === undefined || !Number.isSafeInteger(claimOffset)
		? null
		: {
			keyHash, bodyHash, claimOffset, agentIncarnation,
		};
}

/** Returns the part of the URL after `/requests/{service}`, unchanged, and at least `/`. */
function backendPathOf(url: string): string {
	return /^\/requests\/[^\/?]+(?<path>.*)$/v.exec(url)?.groups?.path?.replace(/^(?=\?|$)/v, '/') ?? '/';
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
	closeAfterAnswer(response);
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
}

/** Answers a notice that is cut off, is not JSON or does not have the agreed fields. */
function sendBadNotice(response: ServerResponse, fields: string): void {
	sendJson(response, 400, {error: {kind: 'bad-notice', message: 'the notice does not have the agreed fields', remedy: `send ${fields}`}});
}

/** Reads a notice; returns undefined for one that is cut off, too long or does not match its schema. */
async function readNotice<Value>(request: IncomingMessage, intake: Intake, schema: z.ZodMiniType<Value>): Promise<Value | undefined> {
	const bytes = await readBody(request, {
		intake, group: 'entries', maxBytes: maxNoticeBytes, timeoutMs: noticeTimeoutMs,
	});
	const notice = bytes.isOk ? parseJson(bytes.value.toString()) : undefined;
	return notice?.isOk ? schema.safeParse(notice.value).data : undefined;
}

/**
Opens the agent's port for entries and backend servers.

@returns `address-unavailable` when the port cannot be opened.
@example
const server = await openRequestServer({requestAddress: '127.0.0.1:7200', headerBytes: 16_384, client, nowMs, dispatch, health, timeline});
*/
export async function openRequestServer(options: Options): Promise<Result<RequestServer, TypedError<'address-unavailable'>>> {
	const {
		client, nowMs, dispatch, intake = createDefaultIntake('agent'),
	} = options;
	const exchanges = new Map<string, Exchange>();
	const leavingResponses = new Map<string, ServerResponse[]>();
	let arrivedCount = 0;

	/** Aborts a request. One that was not sent to the backend server yet is withdrawn, so that it is never sent. */
	function abortExchange(exchange: Exchange): void {
		exchange.clearDeadline();
		exchanges.delete(exchange.details.requestId);
		if (exchange.isExecuted && !exchange.isSent && !exchange.isWithdrawn) {
			exchange.isWithdrawn = true;
			dispatch({
				kind: 'request-settled', nowMs: nowMs(), requestId: exchange.details.requestId, settlement: {kind: 'refused', refusal: refusalOf('deadline-passed')},
			});
		}
	}

	function handleRequest(request: IncomingMessage, response: ServerResponse, url: string): void {
		const requestNowMs = nowMs();
		const remainingMs = Number(headerOf(request, 'deadline-ms') ?? defaultDeadlineMs);
		arrivedCount += 1;
		// Entries may send the same request ID again, so each exchange gets an ID of its own.
		const exchange = new Exchange({
			requestId: `${arrivedCount}`,
			method: (headerOf(request, 'method') ?? request.method ?? 'GET').toUpperCase(),
			path: backendPathOf(url),
			request,
			response,
			arrivedAtMs: requestNowMs,
			deadlineMs: requestNowMs + (Number.isFinite(remainingMs) ? Math.min(maxDeadlineMs, remainingMs) : defaultDeadlineMs),
		});
		const backendServerId = headerOf(request, 'backend-server');
		const key = keyOf(request);
		if (backendServerId === undefined || headerOf(request, 'request-id') === undefined || key === null) {
			exchange.refuse(refusalOf('bad-request'));
			return;
		}

		exchanges.set(exchange.details.requestId, exchange);
		response.once('close', () => {
			abortExchange(exchange);
		});
		exchange.watchDeadline(requestNowMs, () => {
			abortExchange(exchange);
			exchange.refuse(refusalOf(exchange.isWithdrawn ? 'deadline-passed' : 'answer-overdue'));
		});
		const arrivedRequest: ArrivedRequest = {requestId: exchange.details.requestId, backendServerId, key};
		dispatch({kind: 'request-arrived', nowMs: requestNowMs, request: arrivedRequest});
	}

	const server = createServer({maxHeaderSize: options.headerBytes, keepAliveTimeout: keepAliveTimeoutMs, requestTimeout: 0});
	guardConnections(server, {intake, group: 'entries'});
	const app = polka({server});
	app.all('/requests/:service/*', (request, response) => {
		handleRequest(request, response, request.originalUrl);
	});
	app.all('/requests/:service', (request, response) => {
		handleRequest(request, response, request.originalUrl);
	});
	app.post('/announce', async (request, response) => {
		const announcement = await readNotice(request, intake, announcementSchema);
		if (announcement === undefined) {
			sendBadNotice(response, 'backendServerId, service, address, slots and connections');
			return;
		}

		dispatch({kind: 'backend-server-announced', nowMs: nowMs(), announcement});
		sendJson(response, 200, {});
	});
	app.post('/leaving', async (request, response) => {
		const notice = await readNotice(request, intake, leavingSchema);
		if (notice === undefined) {
			sendBadNotice(response, 'backendServerId');
			return;
		}

		leavingResponses.set(notice.backendServerId, [...leavingResponses.get(notice.backendServerId) ?? [], response]);
		dispatch({kind: 'backend-server-leaving', nowMs: nowMs(), backendServerId: notice.backendServerId});
	});
	app.get('/timeline', (request, response) => {
		sendJson(response, 200, {events: options.timeline(Number(request.query.from ?? 0))});
	});
	app.get('/health', (_, response) => {
		sendJson(response, 200, options.health());
	});

	const [host, port] = options.requestAddress.split(':');
	app.listen({port: Number(port), host, backlog: intake.pendingConnections});
	try {
		await once(server, 'listening');
	} catch (error) {
		return Result.err({kind: 'address-unavailable', message: `cannot listen on ${options.requestAddress}: ${String(error)}`, remedy: 'free the address or change requestAddress'});
	}

	const effectHandlers: Readonly<{[Kind in RequestEffectKind]: (effect: AgentEffectOf<Kind>) => void}> = {
		'run-request'(effect) {
			const exchange = exchanges.get(effect.requestId);
			if (exchange !== undefined) {
				exchange.isExecuted = true;
				client.run(exchange, effect);
			}
		},
		'refuse-request'({requestId, refusal}) {
			exchanges.get(requestId)?.refuse(refusal);
		},
		'answer-request'({requestId, answer}) {
			exchanges.get(requestId)?.answer(answer);
		},
		'answer-leaving'({backendServerId}) {
			for (const response of leavingResponses.get(backendServerId) ?? []) {
				sendJson(response, 200, {drained: true});
			}

			leavingResponses.delete(backendServerId);
		},
	};
	function execute<Kind extends RequestEffectKind>(effect: AgentEffectOf<Kind>): void {
		effectHandlers[effect.kind](effect);
	}

	const boundAddress = server.address();
	return Result.ok({
		port: typeof boundAddress === 'object' && boundAddress !== null ? boundAddress.port : 0,
		execute,
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	});
}
