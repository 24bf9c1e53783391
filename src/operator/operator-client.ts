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
	/** Most rounds over all addresses to confirm a plan. */
	confirmationRounds?: number;
	/** Pause between two rounds. */
	roundDelayMs?: number;
}>;

/** Client of the entries' operator API. Every promise resolves; failures are values whose kind comes from the entry or from this client. */
export type OperatorClient = Readonly<{
	computePlan: (intent: Intent) => Promise<Result<Plan, TypedError>>;
	/** Sends the same plan again when an answer is lost; the result is `unknown` only when no entry returned a final decision. */
	confirm: (plan: Plan) => Promise<Result<Confirmation, TypedError>>;
	status: () => Promise<Result<StatusReport, TypedError>>;
	explain: (subject: string) => Promise<Result<Explanation, TypedError>>;
	/** Events that one entry stores; each entry needs a request of its own. */
	timeline: (address: string, fromSequence: number) => Promise<Result<readonly TimelineEvent[], TypedError>>;
	records: (fromOffset: number, limit: number) => Promise<Result<RecordsPage, TypedError>>;
	/** The newest snapshot in the log. */
	snapshot: () => Promise<Result<SnapshotAnswer, TypedError>>;
	/** The encoded cluster state of another entry. */
	peerState: () => Promise<Result<Uint8Array, TypedError>>;
	close: () => Promise<void>;
}>;

type OperatorRequest = Readonly<{method: 'GET' | 'POST'; path: string; body?: unknown}>;
type OperatorResponse = Readonly<{status: number; bytes: Uint8Array}>;

/** HTTP statuses after which the request is sent to the next entry. */
const retryableStatuses = new Set([500, 502, 503, 504]);

/**
Creates a client of the entries' operator API.

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

	const send = async (address: string, operatorRequest: OperatorRequest): Promise<Result<OperatorResponse, TypedError>> => {
		try {
			const response = await httpRequest(`http://${address}${operatorRequest.path}`, {
				method: operatorRequest.method,
				dispatcher: agent,
				headers: {
					authorization: `Bearer ${token}`,
					...(operatorRequest.body !== undefined && {'content-type': 'application/json'}),
				},
				body: operatorRequest.body === undefined ? null : JSON.stringify(operatorRequest.body),
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

	const sendUntilAnswered = async (operatorRequest: OperatorRequest, candidates = addresses): Promise<Result<Uint8Array, TypedError>> => {
		let failure: TypedError = {kind: 'entry-unreachable', message: 'no entry is named', remedy: 'name one with --entry ADDRESS'};
		for (const address of candidates) {
			const sent = await send(address, operatorRequest);
			if (sent.isErr) {
				failure = sent.error;
				continue;
			}

			const {status, bytes} = sent.value;
			if (status === 200) {
				return ok(bytes);
			}

			failure = parseError(address, status, bytes);
			if (!retryableStatuses.has(status)) {
				break;
			}
		}

		return err(failure);
	};

	const requestJson = async <Schema extends z.ZodType>(schema: Schema, operatorRequest: OperatorRequest, candidates = addresses): Promise<Result<z.infer<Schema>, TypedError>> => {
		const bytes = await sendUntilAnswered(operatorRequest, candidates);
		return bytes.andThen(content => parseAnswer(schema, content));
	};

	return {
		async computePlan(intent) {
			const answer = await requestJson(planEnvelopeSchema, {method: 'POST', path: '/plans', body: {intent}});
			return answer.map(({plan}) => plan);
		},
		async confirm(plan) {
			let bestAnswer: Result<Confirmation, TypedError> | undefined;
			for (let round = 0; round < confirmationRounds; round++) {
				if (round > 0) {
					await sleep(roundDelayMs);
				}

				for (const address of addresses) {
					const answer = await requestJson(confirmationSchema, {method: 'POST', path: '/plans/confirm', body: {plan}}, [address]);
					const isFinal = answer.isOk ? isFinalDecision(answer.value) : isRefusal(answer.error);
					if (isFinal) {
						return answer;
					}

					// `unknown` takes precedence over a rejection that is not in the log, and both over an error.
					bestAnswer = bestAnswer?.isOk && (answer.isErr || bestAnswer.value.result === 'unknown') ? bestAnswer : answer;
				}

				if (bestAnswer?.isOk && bestAnswer.value.result !== 'unknown') {
					return bestAnswer;
				}
			}

			return bestAnswer ?? err({kind: 'entry-unreachable', message: 'no entry is named', remedy: 'name one with --entry ADDRESS'});
		},
		status: async () => requestJson(statusReportSchema, {method: 'GET', path: '/status'}),
		explain: async subject => requestJson(explanationSchema, {method: 'GET', path: `/explain?${new URLSearchParams({subject}).toString()}`}),
		async timeline(address, fromSequence) {
			const answer = await requestJson(timelineAnswerSchema, {method: 'GET', path: `/timeline?from=${fromSequence}`}, [address]);
			return answer.map(({events}) => events);
		},
		records: async (fromOffset, limit) => requestJson(recordsPageSchema, {method: 'GET', path: `/records?from=${fromOffset}&limit=${limit}`}),
		snapshot: async () => requestJson(snapshotAnswerSchema, {method: 'GET', path: '/snapshot'}),
		peerState: async () => sendUntilAnswered({method: 'GET', path: '/peer-state'}),
		async close() {
			await agent.close();
		},
	};
}

/** Returns whether a decision is final. A rejection without an offset comes from one entry only, such as one that cannot reach the log. */
function isFinalDecision({result, offset}: Confirmation): boolean {
	return result === 'accepted' || (result === 'rejected' && offset >= 0);
}

/** Returns whether an entry refused the request itself, so that another attempt would be refused as well. */
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
