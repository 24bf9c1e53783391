import {setTimeout as delay} from 'node:timers/promises';
import {ok, type Result} from 'true-myth/result';
import {formatError, type TypedError} from '../errors/typed-error.js';
import {createAnnouncementAges} from '../membership/announcement-ages.js';
import {evaluateRole, initialRoleState, type AnnouncedEntry} from '../membership/entry-role.js';
import {createJobRelay} from '../relay/job-relay.js';
import {createRelayServer} from '../relay/relay-server.js';
import {type Intake} from '../intake/intake.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {processorsMilliOf} from '../settings/processors-milli.js';
import {type EventLog} from '../telemetry/event-log.js';
import {type Metrics} from '../telemetry/metrics.js';
import {type Timeline} from '../telemetry/timeline-event.js';
import {boundedText} from '../validation/bounded-text.js';
import {describeThrown} from '../validation/describe-thrown.js';
import {type CallerJobError, type Readiness} from './caller-server.js';
import {createDeciderMonitor} from './decider-monitor.js';
import {type EntryPlatform} from './entry-platform.js';
import {type EntryProcess} from './entry-process.js';
import {type JobInterface} from './job-interface.js';
import {createSystemWallClock} from './settled-wall-clock.js';

/** Time between two reads of the roles while there are enough deciders, and while there are too few. */
const readIntervalMs = 2000;
const shortReadIntervalMs = 400;

/** Time between two announcements. */
const announceIntervalMs = 4000;

/** How long a stop waits for the relayed calls of this entry's callers. */
const relayedCallsTimeoutMs = 1400;

/** Status of a call that was refused as not run. */
const refusedStatus = 503;

/** An entry whose announcement stays the same for this long is left out. */
const announcementLifetimeMs = 12_000;

/**
Starts an entry on the users' platform. It relays callers' requests to the deciders until it is chosen as one; then it loads the cluster state
and decides itself. Without `deciders` every entry decides from the start.

@example
const entry = await startPlatformEntry({settings, eventLog, metrics, timeline, platform});
*/
export async function startPlatformEntry({settings, eventLog, metrics, timeline, platform, intake}: Readonly<{
	settings: EntrySettings;
	eventLog: EventLog;
	metrics: Metrics;
	timeline: Timeline;
	platform: EntryPlatform;
	/** Account of the process for its servers. */
	intake?: Intake;
}>): Promise<Result<Pick<EntryProcess, 'stop'>, TypedError>> {
	const {entryId, failureDomain, deciders} = settings;
	const nowMs = (): number => performance.now();
	const wallClock = createSystemWallClock();
	const relay = createJobRelay({
		entryId, nowMs, eventLog, metrics, submitsByJob: settings.jobAdmission.enabled,
	});
	const ages = createAnnouncementAges({lifetimeMs: announcementLifetimeMs, steadyMs: nowMs});
	const monitor = createDeciderMonitor({nowMs, eventLog, metrics});
	const stopping = new AbortController();
	let decider: EntryProcess | undefined;
	let roleState = initialRoleState;
	let announcedAtMs = Number.NEGATIVE_INFINITY;

	/** Decides on a call itself if it can. What it refuses as not run, because it cannot read the log, is relayed to another decider. */
	async function decideOrRelay<Value>(call: (jobs: JobInterface) => Promise<Result<Value, CallerJobError>>): Promise<Result<Value, CallerJobError>> {
		const decided = decider && await call(decider.jobs);
		const isFinal = decided?.isOk === true || (decided?.isErr === true && decided.error.status !== refusedStatus);
		return decided && (isFinal || !relay.readiness().isReady) ? decided : call(relay.jobs);
	}

	const jobs: JobInterface = {
		submit: async body => decideOrRelay(async target => target.submit(body, {callerFailureDomain: failureDomain})),
		async find(jobId) {
			return decideOrRelay(async target => target.find(jobId)); // eslint-disable-line unicorn/no-array-callback-reference -- `find` is no method of an array.
		},
		cancel: async jobId => decideOrRelay(async target => target.cancel(jobId)),
		countPending: async queue => decideOrRelay(async target => target.countPending(queue)),
	};

	function readiness(): Readiness {
		if (stopping.signal.aborted) {
			return {isReady: false, reason: 'the entry is stopping'};
		}

		if (!platform.isConfigured()) {
			return {isReady: false, reason: 'the entry has not read the operator\'s configuration yet'};
		}

		const relayed = relay.readiness();
		return decider && !relayed.isReady ? decider.readiness() : (decider?.readiness().isReady === true ? decider.readiness() : relayed);
	}

	const relayServer = deciders && createRelayServer({
		address: deciders.relayAddress,
		eventLog,
		...(intake && {intake}),
		// A decider answers from its own state only, so that no call is relayed twice.
		jobs: () => decider?.jobs,
		readiness: () => stopping.signal.aborted || !decider ? {isReady: false, reason: 'this entry does not decide'} : decider.readiness(),
	});

	/** Loads the state and decides from then on. */
	async function startDeciding(): Promise<Result<void, TypedError>> {
		eventLog.info('entry-decides', {entryId});
		const {startEntry} = await import('./entry-process.js');
		const started = await startEntry({
			settings, eventLog, metrics, timeline, platformLog: platform.logService, evacuationRequests: platform.evacuationRequests, wallClock, ...(intake && {intake}),
		});
		if (started.isErr) {
			return started.map(() => undefined);
		}

		decider = started.value;
		platform.announceToAgents();
		return ok(undefined);
	}

	async function announce(relayAddress: string): Promise<void> {
		const written = await platform.registry.announce({
			entryId, failureDomain, processorsMilli: processorsMilliOf(settings), relayAddress, role: decider ? 'decider' : 'front',
		});
		if (written.isErr) {
			eventLog.warn('role-not-announced', {entryId, reason: boundedText(written.error.message)});
			return;
		}

		announcedAtMs = nowMs();
	}

	/** Reads the roles of all entries and evaluates that of this one. */
	async function reviewRole(deciderCount: number): Promise<void> {
		const read = await platform.registry.read();
		if (read.isErr) {
			monitor.recordFailedRead(read.error.message);
			return;
		}

		const ageById = ages.evaluate(read.value.map(({entryId: key, offset}) => ({key, offset})));
		const announced: readonly AnnouncedEntry[] = read.value.map(entry => ({...entry, age: ageById.get(entry.entryId) ?? 'expired'}));
		relay.setDeciders(announced.filter(({role, age, entryId: id}) => role === 'decider' && age !== 'expired' && id !== entryId));
		const unavailableIds = relay.unavailableIds();
		roleState = evaluateRole(roleState, {
			entryId, deciderCount, announced, unavailableIds, announcedAtMs, nowMs: nowMs(),
		});
		monitor.record({
			entryId, deciderCount, announced, unavailableIds, isDecider: decider !== undefined,
		});
	}

	async function reviewAndAnnounce({count, relayAddress}: NonNullable<EntrySettings['deciders']>): Promise<void> {
		try {
			await reviewRole(count);
			// The announcement of the former life tells whether this entry decided, so that it is read first.
			const isStarting = roleState.role === 'decider' && !decider;
			if (roleState.hasRead && !isStarting && nowMs() - announcedAtMs >= announceIntervalMs) {
				await announce(relayAddress);
			}
		} catch (error) {
			eventLog.error('role-review-failed', {reason: describeThrown(error).reason});
		}
	}

	async function run(roles: NonNullable<EntrySettings['deciders']>): Promise<void> {
		while (!stopping.signal.aborted) {
			await reviewAndAnnounce(roles);
			if (roleState.role === 'decider' && !decider) {
				const started = await startDeciding();
				if (started.isErr) {
					// Parts of it may run, so that only a new process can try again.
					throw new Error(formatError(started.error));
				}

				announcedAtMs = Number.NEGATIVE_INFINITY;
				continue;
			}

			await delay(roleState.shortSinceMs === undefined && roleState.hasRead ? readIntervalMs : shortReadIntervalMs);
		}
	}

	await platform.open({jobs, readiness, wallTimeMs: wallClock.nowMs});
	await relayServer?.listen();
	if (deciders) {
		run(deciders).catch((error: unknown) => {
			// An exception that nobody handles ends the process.
			setImmediate(() => {
				throw error;
			});
		});
	} else {
		const started = await startDeciding();
		if (started.isErr) {
			return started.map(() => ({stop: async () => undefined}));
		}
	}

	return ok({
		async stop() {
			stopping.abort();
			// Gives the load balancer time to notice that the entry is no longer ready.
			await delay(settings.timings.shutdownDelayMs);
			// The queue server cuts what is unanswered 1.7 s after it began to close; a relayed call is answered as unknown before that.
			const relayTimer = setTimeout(relay.close, relayedCallsTimeoutMs);
			await Promise.all([platform.close(), relayServer?.close()]);
			clearTimeout(relayTimer);
			relay.close();
			await decider?.stop();
		},
	});
}
