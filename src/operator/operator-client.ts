import {setTimeout as sleep} from 'node:timers/promises';
import {err, ok, type Result} from 'true-myth/result';
import {Agent, request as httpRequest} from 'undici';
import {type z} from 'zod';
import {type Intent, type Plan} from '../cluster/intent.js';
import {messageOf} from '../errors/message-of.js';
import {type TypedError} from '../errors/typed-error.js';
import {type TimelineEvent} from '../telemetry/timeline-event.js';
import {
	confirmationSchema, errorAnswerSchema, explanationSchema, planEnvelopeSchema, recordsPageSchema, snapshotAnswerSchema, statusReportSchema, timelineAnswerSchema,
	type Confirmation, type Explanation, type RecordsPage, type SnapshotAnswer, type StatusReport,
} from './operator-api.js';

export type OperatorClientOptions = Readonly<{
	/** Operator addresses as `IP:PORT`; the next one is tried when one does not answer. */
	addresses: readonly string[];
	token: string;
	/** Longest wait for one answer. */
	requestTimeoutMs?: number;
	/** How often all addresses are tried for a confirmation whose answer was lost. */
	confirmationRounds?: number;
	/** Wait between two rounds. */
	roundDelayMs?: number;
}>;

/** Every call resolves; failures are values whose kind is the entry's own or one of this client's. */
export type OperatorClient = Readonly<{
	computePlan: (intent: Intent) => Promise<Result<Plan, TypedError>>;
	/** Asks again with the same plan when an answer is lost; `unknown` remains only when no entry could tell. */
	confirm: (plan: Plan) => Promise<Result<Confirmation, TypedError>>;
	status: () => Promise<Result<StatusReport, TypedError>>;
	explain: (subject: string) => Promise<Result<Explanation, TypedError>>;
	/** Events that one entry holds; each entry is asked on its own. */
	timeline: (address: string, fromSequence: number) => Promise<Result<readonly TimelineEvent[], TypedError>>;
	records: (fromOffset: number, limit: number) => Promise<Result<RecordsPage, TypedError>>;
	/** The newest snapshot in the log. */
	snapshot: () => Promise<Result<SnapshotAnswer, TypedError>>;
	/** The encoded cluster state of another entry. */
	peerState: () => Promise<Result<Uint8Array, TypedError>>;
	close: () => Promise<void>;
}>;

type Call = Readonly<{method: 'GET' | 'POST'; path: string; body?: unknown}>;
type Reply = Readonly<{status: number; bytes: Uint8Array}>;

/** Statuses after which another entry may do better. */
const retriedStatuses = new Set([500, 502, 503, 504]);

/**
Makes a client of the operators' interface.

@example
const client = createOperatorClient({addresses: ['127.0.0.1:7001', '127.0.0.1:7002'], token});
const status = await client.status();
await client.close();
*/
export function createOperatorClient(options: OperatorClientOptions): OperatorClient {
	const {
		addresses, token, requestTimeoutMs = 10_000, confirmationRounds = 3, roundDelayMs = 500,
	} = options;
	const agent = new Agent({
		connect: {timeout: Math.min(requestTimeoutMs, 2000)},
		headersTimeout: requestTimeoutMs,
		bodyTimeout: requestTimeoutMs,
	});

	const send = async (address: string, call: Call): Promise<Result<Reply, TypedError>> => {
		try {
			const response = await httpRequest(`http://${address}${call.path}`, {
				method: call.method,
				dispatcher: agent,
				headers: {
					authorization: `Bearer ${token}`,
					...(call.body !== undefined && {'content-type': 'application/json'}),
				},
				body: call.body === undefined ? null : JSON.stringify(call.body),
			});
			return ok({status: response.statusCode, bytes: await response.body.bytes()});
		} catch (error) {
			return err({
				kind: 'entry-unreachable',
				message: `${address} does not answer: ${messageOf(error)}`,
				remedy: 'check the address or name another entry with --entry',
			});
		}
	};

	const sendToAny = async (call: Call, candidates = addresses): Promise<Result<Uint8Array, TypedError>> => {
		let failure: TypedError = {kind: 'entry-unreachable', message: 'no entry is named', remedy: 'name one with --entry ADDRESS'};
		for (const address of candidates) {
			const sent = await send(address, call);
			if (sent.isErr) {
				failure = sent.error;
				continue;
			}

			const {status, bytes} = sent.value;
			if (status === 200) {
				return ok(bytes);
			}

			failure = parseError(address, status, bytes);
			if (!retriedStatuses.has(status)) {
				break;
			}
		}

		return err(failure);
	};

	const ask = async <Schema extends z.ZodType>(schema: Schema, call: Call, candidates = addresses): Promise<Result<z.infer<Schema>, TypedError>> => {
		const bytes = await sendToAny(call, candidates);
		return bytes.andThen(content => parseAnswer(schema, content));
	};

	return {
		async computePlan(intent) {
			const answer = await ask(planEnvelopeSchema, {method: 'POST', path: '/plans', body: {intent}});
			return answer.map(({plan}) => plan);
		},
		async confirm(plan) {
			let last: Result<Confirmation, TypedError> | undefined;
			for (let round = 0; round < confirmationRounds; round++) {
				if (round > 0) {
					await sleep(roundDelayMs);
				}

				for (const address of addresses) {
					const answer = await ask(confirmationSchema, {method: 'POST', path: '/plans/confirm', body: {plan}}, [address]);
					const decided = answer.isOk ? answer.value.result !== 'unknown' : isRefusal(answer.error);
					if (decided) {
						return answer;
					}

					// An answer of unknown says more than an entry that could not be reached at all.
					last = last?.isOk && answer.isErr ? last : answer;
				}
			}

			return last ?? err({kind: 'entry-unreachable', message: 'no entry is named', remedy: 'name one with --entry ADDRESS'});
		},
		status: async () => ask(statusReportSchema, {method: 'GET', path: '/status'}),
		explain: async subject => ask(explanationSchema, {method: 'GET', path: `/explain?${new URLSearchParams({subject}).toString()}`}),
		async timeline(address, fromSequence) {
			const answer = await ask(timelineAnswerSchema, {method: 'GET', path: `/timeline?from=${fromSequence}`}, [address]);
			return answer.map(({events}) => events);
		},
		records: async (fromOffset, limit) => ask(recordsPageSchema, {method: 'GET', path: `/records?from=${fromOffset}&limit=${limit}`}),
		snapshot: async () => ask(snapshotAnswerSchema, {method: 'GET', path: '/snapshot'}),
		peerState: async () => sendToAny({method: 'GET', path: '/peer-state'}),
		async close() {
			await agent.close();
		},
	};
}

/** Tells whether an entry understood the request and refused it, so that asking again changes nothing. */
function isRefusal(error: TypedError): boolean {
	return refusalKinds.has(error.kind);
}

const refusalKinds = new Set(['token-refused', 'request-invalid', 'request-too-large', 'not-found']);

function parseError(address: string, status: number, bytes: Uint8Array): TypedError {
	const parsed = parseAnswer(errorAnswerSchema, bytes);
	return parsed.match({
		Ok: ({error}) => error,
		Err: () => ({kind: 'answer-invalid', message: `${address} answered ${status} without a reason`, remedy: 'check that the address is an entry\'s operator address'}),
	});
}

function parseAnswer<Schema extends z.ZodType>(schema: Schema, bytes: Uint8Array): Result<z.infer<Schema>, TypedError> {
	let value: unknown;
	try {
		value = JSON.parse(new TextDecoder().decode(bytes));
	} catch {
		value = undefined;
	}

	const checked = schema.safeParse(value);
	return checked.success
		? ok(checked.data)
		: err({kind: 'answer-invalid', message: `the entry's answer has another form: ${checked.error.issues[0]!.message}`, remedy: 'use the same version of arbutushinge as the entry'});
}
