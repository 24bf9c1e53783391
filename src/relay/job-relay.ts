import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'true-myth/result';
import {z} from 'zod';
import {rankByRendezvous} from '../cluster/rendezvous.js';
import {type CallerJobError, type Readiness} from '../entry/caller-server.js';
import {type JobInterface, type JobReport} from '../entry/job-interface.js';
import {messageOf} from '../errors/message-of.js';
import {creditRequest, takeRetry, type RetryBudget} from '../requests/retry-budget.js';
import {type EventLog} from '../telemetry/event-log.js';
import {type Metrics} from '../telemetry/metrics.js';
import {boundedText} from '../validation/bounded-text.js';
import {parseJson} from '../validation/parse-json.js';
import {createHttpConnections, isConnectFailure, type HttpConnections} from '../worker/http-connections.js';
import {
	concludeAttempts, evaluateAttempt, isUnprovenRefusal, noAttempts, orderDeciders, type AttemptEnd, type RelayAttempts,
} from './relay-attempts.js';
import {
	relayAnswerSchema, relayPath, type RelayAnswer, type RelayCall,
} from './relay-message.js';

/** A decider that a front can relay calls to. */
export type DeciderAddress = Readonly<{entryId: string; relayAddress: string}>;

/** Relays callers' requests from a front to the deciders. */
export type JobRelay = Readonly<{
	jobs: JobInterface;
	/** Sets the deciders that calls are relayed to; the connections to others are closed once they are idle. */
	setDeciders: (deciders: readonly DeciderAddress[]) => void;
	/** A front is ready while a decider answers it. */
	readiness: () => Readiness;
	/** Returns the deciders that have not served this front for `unavailableAfterMs`; one that cannot read the log says so in its answers to the checks. */
	unavailableIds: () => ReadonlySet<string>;
	/** Ends all connections; calls without an answer end at once, as unknown. */
	close: () => void;
}>;

type DeciderState = {
	readonly connections: HttpConnections;
	readonly relayAddress: string;
	servedAtMs: number;
	failedAtMs: number;
};

/** Connections to one decider. */
const connections = 16;

/** Calls that wait for an answer at most; further ones are refused at once. */
const maxOpenCalls = 512;

/** Time that a front has for a call; callers wait 3 s. */
const callTimeoutMs = 2600;

/** Time after which the next decider is tried, while the retry budget lasts. */
const attemptTimeoutMs = 900;

const maxAttempts = 3;

/** Share of retries without an answer of the calls, in thousandths. */
const retryBudgetMilli = 200;

/** Time between two checks of all deciders. */
const checkIntervalMs = 1000;

const checkTimeoutMs = 700;

/** Time without an answer of any decider after which a front is not ready: two failed checks. */
const notReadyAfterMs = 2500;

/** Time without a good answer after which a decider counts as unavailable. */
const unavailableAfterMs = 3000;

/** Retries that a front may make before its calls have earned any, in thousandths. */
const initialRetriesMilli = 10_000;

const refusedRetryAfterMs = 1000;

/**
Creates the relay of a front; it relays after `setDeciders`. Each front prefers another decider, so that the load is spread.

@example
const relay = createJobRelay({entryId: 'edge-9', nowMs: () => performance.now(), eventLog, metrics});
relay.setDeciders([{entryId: 'edge-1', relayAddress: '10.1.0.13:7722'}]);
await relay.jobs.find('panel-17');
*/
export function createJobRelay({entryId, nowMs, eventLog, metrics, submitsByJob = false}: Readonly<{
	entryId: string;
	nowMs: () => number;
	eventLog: EventLog;
	metrics: Metrics;
	/** Whether the submissions of a job go to the same decider from all fronts, which the admission of jobs needs. */
	submitsByJob?: boolean;
}>): JobRelay {
	const deciders = new Map<string, DeciderState>();
	let rankedIds: readonly string[] = [];
	let lastAnsweredAtMs = Number.NEGATIVE_INFINITY;
	let openCalls = 0;
	let retryBudget: RetryBudget = {tokensMilli: initialRetriesMilli};
	let isClosed = false;

	/** Returns the deciders in the order for a call. With `submitsByJob` a job's submissions go to the one that knows what it promised to the caller. */
	function rankedIdsFor(call: RelayCall): readonly string[] {
		const jobId = submitsByJob && call.kind === 'submit' ? jobIdOf(call.job) : undefined;
		return jobId === undefined ? rankedIds : rankByRendezvous(rankedIds, jobId);
	}

	function recordEnd(decider: DeciderState, end: AttemptEnd): void {
		const isGood = end.kind === 'answered' && (isUnprovenRefusal(end.answer) || !(end.answer.result === 'error' && end.answer.error.status >= 503));
		decider.failedAtMs = isGood ? Number.NEGATIVE_INFINITY : nowMs();
		if (isGood) {
			decider.servedAtMs = nowMs();
			lastAnsweredAtMs = nowMs();
		}
	}

	async function attempt(decider: DeciderState, call: RelayCall, timeoutMs: number): Promise<AttemptEnd> {
		const end = await exchange(decider, call, timeoutMs);
		recordEnd(decider, end);
		return end;
	}

	/** Makes attempts at one decider after the other until the answer is final or the time is over. */
	async function relay(call: RelayCall): Promise<RelayAnswer> {
		const startMs = nowMs();
		const ids = orderDeciders(rankedIdsFor(call), new Map([...deciders].map(([id, {failedAtMs}]) => [id, {entryId: id, failedAtMs}]))).slice(0, maxAttempts);
		let attempts = noAttempts;
		retryBudget = creditRequest(retryBudget, retryBudgetMilli);
		for (const [index, id] of ids.entries()) {
			const decider = deciders.get(id);
			const remainingMs = callTimeoutMs - (nowMs() - startMs);
			if (!decider || remainingMs <= 0) {
				continue;
			}

			const isRetryPossible = index + 1 < ids.length && takeRetry(retryBudget) !== undefined;
			const end = await attempt(decider, withAttempts(call, attempts), isRetryPossible ? Math.min(attemptTimeoutMs, remainingMs) : remainingMs);
			const verdict = evaluateAttempt(attempts, changesState(call) ? end : asNotSent(end));
			if (verdict.isFinal) {
				return verdict.answer;
			}

			attempts = verdict.attempts;
			if (end.kind === 'unknown') {
				metrics.increment('relay.unknown');
				retryBudget = takeRetry(retryBudget) ?? retryBudget;
			}
		}

		return concludeAttempts(attempts);
	}

	async function tryToRelay(call: RelayCall): Promise<RelayAnswer> {
		if (openCalls >= maxOpenCalls) {
			metrics.increment('relay.refused');
			return {
				result: 'error',
				error: {
					status: 503,
					error: {kind: 'relay-full', message: `${maxOpenCalls} requests wait for the entries that decide`, remedy: 'send the job again later; nothing was done'},
					retryAfterMs: refusedRetryAfterMs,
				},
			};
		}

		openCalls++;
		const startMs = nowMs();
		try {
			return await relay(call);
		} finally {
			openCalls--;
			metrics.timingMs('relay.call', Math.round(nowMs() - startMs));
		}
	}

	async function relayFor<Value>(call: RelayCall, toValue: (value: unknown) => Value): Promise<Result<Value, CallerJobError>> {
		const answer = await tryToRelay(call);
		return answer.result === 'ok' ? ok(toValue(answer.value)) : err(answer.error);
	}

	async function checkDeciders(): Promise<void> {
		await Promise.all([...deciders.values()].map(async decider => attempt(decider, {kind: 'check'}, checkTimeoutMs)));
	}

	const checkTimer = setInterval(() => {
		void checkDeciders();
	}, checkIntervalMs);

	return {
		jobs: {
			submit: async (body, origin) => relayFor({kind: 'submit', job: body, ...origin}, value => value),
			find: async jobId => relayFor<JobReport>({kind: 'find', jobId}, value => ({jobId, ...phaseOf(value), tasks: []})),
			cancel: async jobId => relayFor({kind: 'cancel', jobId}, value => value),
			countPending: async queue => relayFor({kind: 'count-pending', queue}, Number),
		},
		setDeciders(addresses) {
			if (isClosed) {
				return;
			}

			const addressById = new Map(addresses.map(({entryId: id, relayAddress}) => [id, relayAddress]));
			for (const [id, {connections: open, relayAddress}] of deciders) {
				if (addressById.get(id) !== relayAddress) {
					open.closeWhenIdle();
					deciders.delete(id);
				}
			}

			for (const [id, relayAddress] of addressById) {
				if (!deciders.has(id)) {
					const state: DeciderState = {
						connections: createHttpConnections({address: relayAddress, connections}), relayAddress, servedAtMs: nowMs(), failedAtMs: Number.NEGATIVE_INFINITY,
					};
					deciders.set(id, state);
					void attempt(state, {kind: 'check'}, checkTimeoutMs);
				}
			}

			const nextIds = rankByRendezvous(addressById.keys(), entryId);
			if (nextIds.join(',') !== rankedIds.join(',')) {
				rankedIds = nextIds;
				eventLog.info('deciders-changed', {deciders: boundedText(rankedIds.join(','))});
			}
		},
		readiness() {
			return nowMs() - lastAnsweredAtMs <= notReadyAfterMs
				? {isReady: true, reason: ''}
				: {isReady: false, reason: `no entry that decides has answered for ${notReadyAfterMs} ms`};
		},
		unavailableIds: () => new Set([...deciders].filter(([, {servedAtMs}]) => nowMs() - servedAtMs > unavailableAfterMs).map(([id]) => id)),
		close() {
			isClosed = true;
			clearInterval(checkTimer);
			for (const {connections: open} of deciders.values()) {
				open.destroy();
			}
		},
	};
}

const readKinds: ReadonlySet<RelayCall['kind']> = new Set(['find', 'count-pending', 'check']);

function changesState({kind}: RelayCall): boolean {
	return !readKinds.has(kind);
}

const jobIdSchema = z.object({jobId: z.string()});

function jobIdOf(job: unknown): string | undefined {
	return jobIdSchema.safeParse(job).data?.jobId;
}

/** Tells the decider when an earlier attempt to submit a job may have taken effect, so that it does not refuse the job as not run. */
function withAttempts(call: RelayCall, {mayHaveRun}: RelayAttempts): RelayCall {
	return call.kind === 'submit' && mayHaveRun ? {...call, mayHaveRun} : call;
}

/** A read without an answer has changed nothing. */
function asNotSent(end: AttemptEnd): AttemptEnd {
	return end.kind === 'unknown' ? {...end, kind: 'not-sent'} : end;
}

async function exchange({connections: open}: DeciderState, call: RelayCall, timeoutMs: number): Promise<AttemptEnd> {
	const body = JSON.stringify(call);
	try {
		const {status, text} = await open.exchange({
			method: 'POST', path: relayPath, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)}, body, timeoutMs: Math.ceil(timeoutMs),
		});
		const parsed = status === 200 ? parseJson(text) : undefined;
		const answer = parsed?.isOk ? relayAnswerSchema.safeParse(parsed.value) : undefined;
		return answer?.success
			? {kind: 'answered', answer: answer.data}
			: {kind: 'unknown', reason: `status ${status}, or an answer in an unknown form`};
	} catch (error) {
		return {kind: isConnectFailure(error) ? 'not-sent' : 'unknown', reason: boundedText(messageOf(error))};
	}
}

const foundSchema = z.object({phase: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']).optional()});

/** Returns the phase in a decider's answer; none for a job without a workflow. */
function phaseOf(value: unknown): Pick<JobReport, 'phase'> {
	const found = foundSchema.safeParse(value);
	return found.success && found.data.phase !== undefined ? {phase: found.data.phase} : {};
}

