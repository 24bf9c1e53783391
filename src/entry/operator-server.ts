import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import polka from 'polka';
import {err, ok, type Result} from 'true-myth/result';
import {type z} from 'zod';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type Intent, type Plan} from '../cluster/intent.js';
import {closeAfterAnswer} from '../intake/close-after-answer.js';
import {createDefaultIntake} from '../intake/default-intake.js';
import {guardConnections} from '../intake/guard-connections.js';
import {type Intake} from '../intake/intake.js';
import {type BodyLimits, readBody} from '../intake/read-body.js';
import {messageOf} from '../errors/message-of.js';
import {type TypedError} from '../errors/typed-error.js';
import {buildStatus} from '../operator/build-status.js';
import {explainSubject} from '../operator/explain-subject.js';
import {
	type Confirmation, explainQuerySchema, type Liveness, planEnvelopeSchema, planRequestSchema, type RecordsPage, recordsQuerySchema, type SnapshotAnswer, timelineQuerySchema,
} from '../operator/operator-api.js';
import {type EventLog} from '../telemetry/event-log.js';
import {type TimelineEvent} from '../telemetry/timeline-event.js';
import {boundedText} from '../validation/bounded-text.js';
import {parseJson} from '../validation/parse-json.js';

/** State and operations of the entry that the operators' interface uses. */
export type OperatorBackend = Readonly<{
	state: () => ClusterState;
	computePlan: (intent: Intent) => Result<Plan, TypedError>;
	/** Resolves with the result `unknown` when it is not certain whether the log holds the plan. */
	confirm: (plan: Plan) => Promise<Confirmation>;
	liveness: () => Liveness;
	/** Returns this entry's events from the given sequence on, all of its newest request events, and the events of its agents. */
	timeline: (fromSequence: number) => Promise<readonly TimelineEvent[]>;
	records: (fromOffset: number, limit: number) => Promise<Result<RecordsPage, TypedError>>;
	snapshot: () => Promise<Result<SnapshotAnswer, TypedError>>;
	/** Describes what happened to a request at this entry; undefined when the entry has no record of it. */
	explainRequest: (requestId: string) => readonly string[] | undefined;
	/** Returns the cluster state, encoded as in a snapshot, for another entry that starts. */
	encodeState: () => Uint8Array | Promise<Uint8Array>;
}>;

export type OperatorServerOptions = Readonly<{
	/** `IP:PORT`; with port 0 the system assigns a free one. */
	address: string;
	token: string;
	backend: OperatorBackend;
	eventLog: EventLog;
	/** Largest body of a request in bytes; a plan may contain a job of 1,000 tasks with 4 KB each. */
	bodyBytes?: number;
	connections?: number;
	idleTimeoutMs?: number;
	/** Account of the process. */
	intake?: Intake;
}>;

export type OperatorServer = Readonly<{
	port: number;
	/** Accepts no new connections and resolves when the requests in flight are answered. */
	close: () => Promise<void>;
}>;

type Answer = Readonly<{status: number; body: unknown}> | Readonly<{status: number; bytes: Uint8Array}>;
type Request = IncomingMessage & Readonly<{query: Readonly<Record<string, unknown>>}>;
type Route = Readonly<{method: 'GET' | 'POST'; path: string; handler: Handler}>;
type OperatorBody = BodyLimits & Readonly<{intake: Intake}>;
type Handler = (request: Request) => Promise<Answer> | Answer;

/**
Starts the operators' HTTP interface of an entry.

@example
const server = await startOperatorServer({address: '127.0.0.1:0', token, backend, eventLog});
await server.close();
*/
export async function startOperatorServer(options: OperatorServerOptions): Promise<OperatorServer> {
	const {
		address, backend, eventLog, bodyBytes = 8_388_608, connections = 64, idleTimeoutMs = 60_000, intake = createDefaultIntake('entry'),
	} = options;
	const tokenHash = hash(options.token);
	const server = createServer({maxHeaderSize: 16_384, requestTimeout: idleTimeoutMs, headersTimeout: Math.min(idleTimeoutMs, 10_000)});
	server.maxConnections = connections;
	server.keepAliveTimeout = Math.min(idleTimeoutMs, 5000);
	server.setTimeout(idleTimeoutMs);
	guardConnections(server, {intake, group: 'operators'});

	const handle = (handler: Handler) => async (request: Request, response: ServerResponse): Promise<void> => {
		const answer = hasToken(request, tokenHash)
			? await answerOf(handler, request, eventLog)
			: tokenRefused;
		try {
			send(request, response, answer);
		} catch (error) {
			// An answer from values of the log may be one that JSON cannot hold.
			eventLog.error('operator-request-failed', {path: boundedText(request.url), error: boundedText(messageOf(error))});
			send(request, response, internalError);
		}
	};

	const routes = createRoutes(backend, {intake, maxBytes: bodyBytes, timeoutMs: idleTimeoutMs});
	const app = polka({
		server,
		onNoMatch(request, response) {
			void handle(() => refusal(404, {
				kind: 'not-found',
				message: `there is no ${String(request.method)} ${request.path}`,
				remedy: `use one of ${routes.map(({method, path}) => `${method} ${path}`).join(', ')}`,
			}))(request, response);
		},
		onError(_error, request, response) {
			send(request, response, internalError);
		},
	});
	for (const {method, path, handler} of routes) {
		app.add(method, path, handle(handler));
	}

	const [host, port] = address.split(':');
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		app.listen({port: Number(port), host, backlog: intake.pendingConnections}, () => {
			server.off('error', reject);
			resolve();
		});
	});
	const bound = server.address();
	return {
		port: typeof bound === 'object' && bound !== null ? bound.port : Number(port),
		async close() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
		},
	};
}

function createRoutes(backend: OperatorBackend, body: OperatorBody): readonly Route[] {
	return [
		{
			method: 'POST',
			path: '/plans',
			async handler(request) {
				const checked = await readJson(request, body, planRequestSchema);
				return checked.match({
					Ok: ({intent}) => backend.computePlan(intent).match<Answer>({
						Ok: plan => ({status: 200, body: {plan}}),
						Err: error => refusal(409, error),
					}),
					Err: answer => answer,
				});
			},
		},
		{
			method: 'POST',
			path: '/plans/confirm',
			async handler(request) {
				const checked = await readJson(request, body, planEnvelopeSchema);
				return checked.isOk ? {status: 200, body: await backend.confirm(checked.value.plan)} : checked.error;
			},
		},
		{
			method: 'GET',
			path: '/status',
			handler: () => ({status: 200, body: buildStatus(backend.state(), backend.liveness())}),
		},
		{
			method: 'GET',
			path: '/explain',
			handler: request => checkQuery(request, explainQuerySchema).match<Answer>({
				Ok: ({subject}) => explainSubject(backend.state(), subject, backend.explainRequest(subject)).match<Answer>({
					Ok: explanation => ({status: 200, body: explanation}),
					Err: error => refusal(404, error),
				}),
				Err: answer => answer,
			}),
		},
		{
			method: 'GET',
			path: '/timeline',
			async handler(request) {
				const query = checkQuery(request, timelineQuerySchema);
				return query.isOk ? {status: 200, body: {events: await backend.timeline(query.value.from)}} : query.error;
			},
		},
		{
			method: 'GET',
			path: '/records',
			async handler(request) {
				const query = checkQuery(request, recordsQuerySchema);
				if (query.isErr) {
					return query.error;
				}

				const page = await backend.records(query.value.from, query.value.limit);
				return page.match<Answer>({
					Ok: value => ({status: 200, body: value}),
					Err: error => refusal(503, error),
				});
			},
		},
		{
			method: 'GET',
			path: '/snapshot',
			async handler() {
				const snapshot = await backend.snapshot();
				return snapshot.match<Answer>({
					Ok: value => ({status: 200, body: value}),
					Err: error => refusal(503, error),
				});
			},
		},
		{
			method: 'GET',
			path: '/peer-state',
			handler: async () => ({status: 200, bytes: await backend.encodeState()}),
		},
	];
}

async function answerOf(handler: Handler, request: Request, eventLog: EventLog): Promise<Answer> {
	try {
		return await handler(request);
	} catch (error) {
		eventLog.error('operator-request-failed', {path: request.url, error: messageOf(error)});
		return internalError;
	}
}

const internalError = refusal(500, {
	kind: 'internal-error',
	message: 'the request failed inside the entry',
	remedy: 'ask another entry and look for operator-request-failed in this entry\'s log',
});

const tokenRefused = refusal(401, {
	kind: 'token-refused',
	message: 'the request carries no valid token',
	remedy: 'send the operators\' token as "Authorization: Bearer TOKEN"',
});

/** Compares hashes, so that the duration of the check reveals neither the content nor the length of the token. */
function hasToken(request: IncomingMessage, tokenHash: Uint8Array): boolean {
	const match = /^Bearer (?<token>\S+)$/v.exec(request.headers.authorization ?? '');
	return timingSafeEqual(hash(match?.groups?.token ?? ''), tokenHash);
}

function hash(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}

async function readJson<Schema extends z.ZodType>(request: IncomingMessage, body: OperatorBody, schema: Schema): Promise<Result<z.infer<Schema>, Answer>> {
	const bytes = await readBody(request, {...body, group: 'operators'});
	if (bytes.isErr) {
		const {status, reason, message} = bytes.error;
		return err(status === 413
			? refusal(413, {kind: 'request-too-large', message: `the body is larger than ${body.maxBytes} bytes`, remedy: 'split the job into smaller ones'})
			: refusal(status, {kind: reason, message, remedy: 'send the whole request again'}));
	}

	const value = parseJson(bytes.value.toString());
	return value.isOk
		? check(schema, value.value)
		: err(refusal(400, {kind: 'request-invalid', message: 'the body is not JSON', remedy: 'send a JSON object'}));
}

function checkQuery<Schema extends z.ZodType>(request: Request, schema: Schema): Result<z.infer<Schema>, Answer> {
	return check(schema, {...request.query});
}

function check<Schema extends z.ZodType>(schema: Schema, value: unknown): Result<z.infer<Schema>, Answer> {
	const checked = schema.safeParse(value);
	if (checked.success) {
		return ok(checked.data);
	}

	const [issue] = checked.error.issues;
	return err(refusal(400, {
		kind: 'request-invalid',
		message: `${issue!.path.join('.') || 'request'}: ${issue!.message}`,
		remedy: 'send the fields that the operators\' interface names',
	}));
}

function refusal(status: number, error: TypedError): Answer {
	const {kind, message, remedy} = error;
	return {status, body: {error: {kind, message, remedy}}};
}

function send(request: IncomingMessage, response: ServerResponse, answer: Answer): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	closeAfterAnswer(response);
	const [type, body] = 'bytes' in answer ? ['application/octet-stream', answer.bytes] : ['application/json', JSON.stringify(answer.body)];
	response.writeHead(answer.status, {'content-type': type, 'content-length': Buffer.byteLength(body)});
	response.end(body);
}
