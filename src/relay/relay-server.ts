import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import polka from 'polka';
import {type Result} from 'true-myth/result';
import {type CallerJobError, type Readiness} from '../entry/caller-server.js';
import {type JobInterface} from '../entry/job-interface.js';
import {messageOf} from '../errors/message-of.js';
import {closeAfterAnswer} from '../intake/close-after-answer.js';
import {createDefaultIntake} from '../intake/default-intake.js';
import {guardConnections} from '../intake/guard-connections.js';
import {type Intake} from '../intake/intake.js';
import {readBody} from '../intake/read-body.js';
import {type EventLog} from '../telemetry/event-log.js';
import {createLineLimit} from '../telemetry/line-limit.js';
import {boundedText} from '../validation/bounded-text.js';
import {describeIssues} from '../validation/describe-issues.js';
import {parseJson} from '../validation/parse-json.js';
import {
	maxRelayBodyBytes, relayCallSchema, relayPath, type RelayAnswer, type RelayCall,
} from './relay-message.js';

/** Takes the calls that fronts relay to this decider. */
export type RelayServer = Readonly<{
	listen: () => Promise<void>;
	/** Answers the calls in flight and closes; later calls are refused as not run. */
	close: () => Promise<void>;
}>;

type CallByKind = {readonly [Kind in RelayCall['kind']]: Extract<RelayCall, {kind: Kind}>};

type RelayHandlers = {readonly [Kind in RelayCall['kind']]: (call: CallByKind[Kind], jobs: JobInterface) => Promise<Result<unknown, CallerJobError> | RelayAnswer>};

/** How long a connection stays open between calls; fronts call at least once a second. */
const keepAliveTimeoutMs = 15_000;

/** Time for the body of a call to arrive; the front gives up before. */
const bodyTimeoutMs = 3000;

/** Lines a second about what is no call. */
const unreadableLinesPerSecond = 5;

/** How long a stop waits for the calls in flight. */
const closeTimeoutMs = 1700;

/** Retry time for callers of a decider that is not ready, or stops. */
const retryAfterMs = 1000;

function notReady(reason: string): RelayAnswer {
	return {
		result: 'error',
		error: {status: 503, error: {kind: 'decider-not-ready', message: reason, remedy: 'call another decider; nothing was done'}, retryAfterMs},
	};
}

/**
Creates the server of a decider for the calls of fronts; it accepts them after `listen`. Every call that is answered has an answer of its
own kind, so that a broken connection or another status means that the outcome is unknown.

@example
const server = createRelayServer({address: '10.1.0.13:7722', jobs, readiness, eventLog});
await server.listen();
*/
export function createRelayServer({address, jobs, readiness, eventLog, intake = createDefaultIntake('entry')}: Readonly<{
	address: string;
	/** Undefined while this entry does not decide. */
	jobs: () => JobInterface | undefined;
	readiness: () => Readiness;
	eventLog: EventLog;
	/** Account of the process. */
	intake?: Intake;
}>): RelayServer {
	const unreadableLimit = createLineLimit({linesPerSecond: unreadableLinesPerSecond});
	let isClosing = false;

	const handlers: RelayHandlers = {
		submit: async ({job, callerFailureDomain, mayHaveRun}, jobs) => jobs.submit(job, {callerFailureDomain, mayHaveRun}),
		async find({jobId}, jobs) {
			const found = await jobs.find(jobId);
			return found.map(({phase}) => ({jobId, phase}));
		},
		cancel: async ({jobId}, jobs) => jobs.cancel(jobId),
		'count-pending': async ({queue}, jobs) => jobs.countPending(queue),
		async check() {
			const {isReady, reason} = readiness();
			return isReady ? {result: 'ok', value: {}} : notReady(reason);
		},
	};

	async function run<Kind extends RelayCall['kind']>(kind: Kind, call: CallByKind[Kind]): Promise<RelayAnswer> {
		const current = isClosing ? undefined : jobs();
		if (!current) {
			return notReady(isClosing ? 'the entry is stopping' : 'this entry does not decide');
		}

		const answer = await handlers[kind](call, current);
		if ('result' in answer) {
			return answer;
		}

		return answer.match<RelayAnswer>({
			Ok: value => ({result: 'ok', value}),
			Err: error => ({result: 'error', error}),
		});
	}

	/** Returns undefined for a call that cannot be read. */
	async function answer(request: IncomingMessage): Promise<RelayAnswer | undefined> {
		const bytes = await readBody(request, {
			intake, group: 'relay', maxBytes: maxRelayBodyBytes, timeoutMs: bodyTimeoutMs,
		});
		if (bytes.isErr && bytes.error.status === 503) {
			return notReady(bytes.error.message);
		}

		const body = bytes.isOk ? parseJson(bytes.value.toString()) : undefined;
		const call = body?.isOk ? relayCallSchema.safeParse(body.value) : undefined;
		if (!call?.success) {
			const {isAllowed, omitted} = unreadableLimit(performance.now());
			if (isAllowed) {
				const bodyProblem = bytes.isErr ? bytes.error.message : 'the body is not JSON';
				eventLog.warn('relay-call-unreadable', {reason: call ? describeIssues(call.error) : bodyProblem, omitted: omitted === 0 ? undefined : omitted});
			}

			return undefined;
		}

		return run(call.data.kind, call.data);
	}

	async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const relayed = await answer(request);
			send(response, relayed === undefined ? 400 : 200, relayed ?? {}, isClosing);
		} catch (error) {
			eventLog.error('relay-call-failed', {reason: boundedText(messageOf(error))});
			send(response, 500, {}, isClosing);
		}
	}

	const server = createServer({keepAliveTimeout: keepAliveTimeoutMs});
	guardConnections(server, {intake, group: 'relay'});
	const app = polka({server});
	app.post(relayPath, (request, response) => {
		void handle(request, response);
	});

	return {
		async listen() {
			const [host = '', port] = address.split(':');
			return new Promise((resolve, reject) => {
				server.once('error', reject);
				app.listen({port: Number(port), host, backlog: intake.pendingConnections}, () => {
					server.off('error', reject);
					server.on('error', error => {
						eventLog.error('relay-server-failed', {reason: boundedText(messageOf(error))});
					});
					resolve();
				});
			});
		},
		async close() {
			isClosing = true;
			return new Promise(resolve => {
				const timer = setTimeout(() => {
					server.closeAllConnections();
				}, closeTimeoutMs);
				server.close(() => {
					clearTimeout(timer);
					resolve();
				});
				server.closeIdleConnections();
			});
		},
	};
}

function send(response: ServerResponse, status: number, body: unknown, closesConnection: boolean): void {
	if (response.destroyed) {
		return;
	}

	const text = JSON.stringify(body);
	closeAfterAnswer(response);
	response.statusCode = status;
	response.setHeader('content-type', 'application/json');
	response.setHeader('content-length', Buffer.byteLength(text));
	if (closesConnection) {
		response.setHeader('connection', 'close');
	}

	response.end(text);
}
