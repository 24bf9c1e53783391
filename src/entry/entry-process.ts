import {randomBytes, randomInt, randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'true-myth/result';
import {computePlan} from '../cluster/compute-plan.js';
import {type EvacuationRequests} from '../cluster/evacuations.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {createHttpLogService} from '../log/http-log-service.js';
import {type LogService} from '../log/log-service.js';
import {createSnapshotStore} from '../log/snapshot-store.js';
import {type EventLog} from '../telemetry/event-log.js';
import {type Metrics} from '../telemetry/metrics.js';
import {type Timeline} from '../telemetry/timeline-event.js';
import {createTimeline} from '../telemetry/create-timeline.js';
import {createEventLoop} from '../event-loop/create-event-loop.js';
import {type Intake} from '../intake/intake.js';
import {logLoopFailures} from '../event-loop/log-loop-failures.js';
import {createSuspensionDetector} from '../event-loop/suspension-detector.js';
import {readTokenFile} from '../operator/read-token-file.js';
import {type RequestEvent} from '../requests/request-event.js';
import {type TypedError} from '../errors/typed-error.js';
import {createAgentStreamServer} from './agent-stream-server.js';
import {createCallerServer, type Readiness} from './caller-server.js';
import {type CallerExchanges} from './caller-exchange.js';
import {createDeferredReplies} from './deferred-replies.js';
import {type EntryEffect} from './entry-effect.js';
import {createEntryEffectExecutor} from './entry-effect-executor.js';
import {createEntryMonitor} from './entry-monitor.js';
import {type EntryEvent} from './entry-event.js';
import {type EntryState, initialEntryState} from './entry-state.js';
import {createJobInterface, type JobInterface} from './job-interface.js';
import {createLogConnection} from './log-connection.js';
import {logPartFailures} from './log-part-failures.js';
import {createOperatorBackend} from './operator-backend.js';
import {startOperatorServer} from './operator-server.js';
import {reduceEntry} from './reduce-entry.js';
import {reportGauges} from './report-gauges.js';
import {createSystemWallClock, type SettledWallClock} from './settled-wall-clock.js';
import {createRequestHistory} from './request-history.js';
import {createRequestForwarder} from './request-forwarder.js';
import {withStateLimits} from './with-state-limits.js';

/** A running entry. */
export type EntryProcess = Readonly<{
	jobs: JobInterface;
	readiness: () => Readiness;
	/** Stops gracefully: reports not ready, then accepts no new connections, then waits for the requests in flight. */
	stop: () => Promise<void>;
}>;

const tickMs = 50;
const logRequestTimeoutMs = 2000;
/** Age of the newest read of the log's tail after which an entry whose requests all need the log is not ready, and the load balancer uses others: three failed long polls. */
const notReadyAfterMs = 3000;
const forwardConcurrency = 4096;
const planExpiresInMs = 600_000;
const requestTimelineCapacity = 2048;
/** Time between two reports of gauges, and between two checks for agents whose connections can be closed. */
const reportIntervalMs = 1000;

/**
Creates the parts of an entry and starts it.

@example
const entry = await startEntry({settings, eventLog, metrics, timeline});
await entry.stop();
*/
export async function startEntry({
	settings: givenSettings, eventLog, metrics, timeline, platformLog, evacuationRequests, wallClock = createSystemWallClock(), intake,
}: Readonly<{
	settings: EntrySettings;
	eventLog: EventLog;
	metrics: Metrics;
	timeline: Timeline;
	/** The log of the users' platform, in place of the HTTP log service; whoever passes it closes the entry's interfaces on the platform before `stop`. */
	platformLog?: LogService;
	/** What was read of the operator's evacuations; undefined until then. */
	evacuationRequests?: () => EvacuationRequests | undefined;
	wallClock?: SettledWallClock;
	/** Account of the process for its servers. */
	intake?: Intake;
}>): Promise<Result<EntryProcess, TypedError>> {
	const settings = withStateLimits(givenSettings);
	let isStopping = false;
	const token = settings.operatorTokenFile === undefined ? ok(undefined) : await readTokenFile(settings.operatorTokenFile);
	if (token.isErr) {
		return err(token.error);
	}

	const logService = platformLog ?? createLogService(settings);
	if (logService === undefined) {
		return err({kind: 'log-service-missing', message: 'the settings name no log service', remedy: 'set logServiceUrl, or platform on the users\' platform'});
	}

	const incarnation = newIncarnation();
	const snapshots = createSnapshotStore({service: logService, stream: `${settings.logStream}-snapshots`});
	const exchanges: CallerExchanges = new Map();
	const deferredReplies = createDeferredReplies();

	const monitor = createEntryMonitor({
		tickMs,
		settings,
		metrics,
		execute(effect) {
			execute(effect);
		},
		nowMs: () => performance.now(),
	});

	const onPartFailed = logPartFailures({eventLog, metrics, nowMs: () => performance.now()});
	const loop = createEventLoop<EntryState, EntryEvent, EntryEffect>({
		initialState: initialEntryState(incarnation),
		reduce: (state, event) => monitor.measureTransition(event.kind, () => reduceEntry(state, event, {
			nowMs: performance.now(),
			wallTimeMs: wallClock.nowMs(),
			seed: randomInt(0x7F_FF_FF_FF),
			pendingAppends: logConnection.pendingAppends(),
			measurePart: monitor.measurePart,
			newestPassMs: monitor.newestPassMs(),
			onPartFailed,
			...(evacuationRequests && {evacuationRequests: evacuationRequests() ?? 'unread'}),
		}, settings)),
		execute(effect) {
			execute(effect);
		},
		onFailure: logLoopFailures({eventLog, metrics, nowMs: () => performance.now()}),
	});
	const suspensions = createSuspensionDetector({wallTimeMs: Date.now, steadyMs: () => performance.now()});

	function dispatch(event: EntryEvent): void {
		const suspendedMs = suspensions.suspendedMs();
		if (suspendedMs > 0) {
			loop.dispatch({kind: 'vm-resumed', suspendedMs});
		}

		loop.dispatch(event);
	}

	const requestHistory = createRequestHistory({
		metrics,
		timeline: createTimeline({process: `requests/${settings.entryId}@${incarnation}`, capacity: requestTimelineCapacity}),
		nowMs: () => performance.now(),
		cluster: () => loop.state().cluster,
	});

	function dispatchRequest(event: RequestEvent): void {
		requestHistory.recordEvent(event);
		dispatch({kind: 'request', event});
	}

	const logConnection = createLogConnection({
		settings, token: token.value, logService, snapshots, eventLog, metrics, dispatch, state: loop.state, recordPage: monitor.recordPage,
	});
	const agents = createAgentStreamServer({
		address: settings.agentAddress, dispatch, eventLog, ...(intake && {intake}),
	});
	const forwarder = createRequestForwarder({
		exchanges,
		dispatch: dispatchRequest,
		log: eventLog,
		concurrency: forwardConcurrency,
	});
	const execute = createEntryEffectExecutor({
		logConnection, agents, forwarder, deferredReplies, timeline, requestHistory, eventLog, metrics, dispatch, newIncarnation,
	});

	const readiness = (): Readiness => {
		if (isStopping) {
			return {isReady: false, reason: 'the entry is stopping'};
		}

		const {cluster, log} = loop.state();
		if (cluster.offset < 0 && log.tailConfirmedSentAtMs === Number.NEGATIVE_INFINITY) {
			return {isReady: false, reason: 'the entry has not read its configuration yet'};
		}

		// On the platform every request needs the log, so callers should use entries that can read it.
		return platformLog && performance.now() - log.tailConfirmedSentAtMs > notReadyAfterMs
			? {isReady: false, reason: `the log was not read for ${notReadyAfterMs} ms`}
			: {isReady: true, reason: ''};
	};

	const jobs = createJobInterface({
		state: loop.state,
		requestDecision,
		nowMs: () => performance.now(),
		logFreshnessMs: settings.timings.logFreshnessMs,
		maxRecordBytes: logService.limits.recordBytes,
		jobBytes: settings.limits.jobBytes,
		failureDomain: settings.failureDomain,
	});

	const callers = createCallerServer({
		settings,
		dispatch: dispatchRequest,
		exchanges,
		onRefusal: requestHistory.recordRefusal,
		metrics,
		jobs,
		readiness,
		nowMs: () => performance.now(),
		log: eventLog,
		...(intake && {intake}),
	});

	async function requestDecision(subject: Parameters<typeof deferredReplies.open>[0]['subject']) {
		return deferredReplies.open({subject, dispatch, replyId: randomUUID()});
	}

	await logConnection.start(incarnation);
	await agents.listen();
	const operators = token.value === undefined
		? undefined
		: await startOperatorServer({
			address: settings.operatorAddress,
			token: token.value,
			eventLog,
			...(intake && {intake}),
			backend: createOperatorBackend({
				settings,
				state: loop.state,
				requestDecision,
				logService,
				snapshots,
				timeline,
				requestHistory,
				metrics,
				nowMs: () => performance.now(),
				wallTimeMs: wallClock.nowMs,
				computePlan: intent => computePlan(loop.state().cluster, intent, {
					planId: randomUUID(), nowMs: wallClock.nowMs(), expiresInMs: planExpiresInMs,
				}),
			}),
		});
	await callers.listen();
	const tickTimer = setInterval(() => {
		monitor.recordTick();
		dispatch({kind: 'tick'});
	}, tickMs);
	let reportedVms: EntryState['cluster']['vms'] | undefined;
	const reportTimer = setInterval(() => {
		const state = loop.state();
		const pendingAppends = logConnection.pendingAppends();
		reportGauges(state, {
			metrics, nowMs: performance.now(), wallTimeMs: wallClock.nowMs(), pendingAppends,
		});
		monitor.report({state, pendingAppends});
		if (state.cluster.vms !== reportedVms) {
			reportedVms = state.cluster.vms;
			forwarder.retainPools(new Set(reportedVms.valueSeq().filter(vm => vm.phase !== 'expired').map(vm => vm.requestAddress)));
		}
	}, reportIntervalMs);
	eventLog.info('entry-started', {entryId: settings.entryId, incarnation});

	return ok({
		jobs,
		readiness,
		async stop() {
			isStopping = true;
			eventLog.info('entry-stopping', {entryId: settings.entryId});
			if (!platformLog) {
				// Gives the load balancer time to notice that the entry is no longer ready.
				await delay(settings.timings.shutdownDelayMs);
			}

			await callers.close();
			await operators?.close();
			await logConnection.leave(settings.entryId);
			clearInterval(tickTimer);
			clearInterval(reportTimer);
			await agents.close();
			await forwarder.close();
			await logConnection.close();
			await metrics.close();
			eventLog.info('entry-stopped', {entryId: settings.entryId});
		},
	});
}

function createLogService({logServiceUrl}: EntrySettings): LogService | undefined {
	return logServiceUrl === undefined ? undefined : createHttpLogService({baseUrl: logServiceUrl, timeoutMs: logRequestTimeoutMs});
}

function newIncarnation(): string {
	return randomBytes(9).toString('base64url').replaceAll('-', '_');
}
