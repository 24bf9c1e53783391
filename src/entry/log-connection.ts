import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'true-myth/result';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {decodeClusterState, encodeClusterState} from '../cluster/cluster-state-codec.js';
import {createLogReader, type LogReader} from '../log/log-reader.js';
import {type LogError, type LogService} from '../log/log-service.js';
import {createLogWriter, type LogWriter} from '../log/log-writer.js';
import {type Snapshot, type SnapshotStore} from '../log/snapshot-store.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {type EventLog} from '../telemetry/event-log.js';
import {createLineLimit} from '../telemetry/line-limit.js';
import {type Metrics} from '../telemetry/metrics.js';
import {ownsPlacement} from '../placement/placement-owner.js';
import {boundedText} from '../validation/bounded-text.js';
import {describeThrown} from '../validation/describe-thrown.js';
import {type EntryEvent} from './entry-event.js';
import {type EntryMonitor} from './entry-monitor.js';
import {type EntryState} from './entry-state.js';
import {fetchPeerState} from './fetch-peer-state.js';

/** The entry's writer, reader and snapshots on the log. */
export type LogConnection = Readonly<{
	/** Loads the newest snapshot or a peer's state, then opens the writer and the reader. */
	start: (incarnation: string) => Promise<void>;
	append: (record: ClusterRecord) => void;
	pendingAppends: () => number;
	confirmTail: () => void;
	writeSnapshot: () => void;
	restartWriter: (incarnation: string) => void;
	/** Appends `entry-ended` as the last record of this entry. */
	leave: (entryId: string) => Promise<void>;
	close: () => Promise<void>;
}>;

const maxBatchRecords = 1000;
const maxSnapshotTries = 3;
const snapshotRetryDelayMs = 300;
/** A reader that starts anew meets the same values again, so that their lines are limited. */
const skippedLinesPerSecond = 5;
/** A refused record is decided on again and again, so that its lines are limited. */
const refusedLinesPerSecond = 5;

/** Returns whether the next read is urgent: an operator or a caller waits for a decision, or this entry is a placement owner. */
function isReadAwaited({cluster, deferred, incarnation}: EntryState): boolean {
	return !deferred.isEmpty()
		|| ownsPlacement(cluster, incarnation);
}

/** Returns the state of a snapshot that covers the log through its offset and no further than to the log's tail. */
function decodeSnapshot({coversOffset, value}: Snapshot, tailOffset: number): Result<ClusterState, string> {
	return decodeClusterState(value).mapErr(({message}) => message).andThen(cluster => {
		if (cluster.offset !== coversOffset) {
			return err(`its state is of offset ${cluster.offset}`);
		}

		return cluster.offset < tailOffset ? ok(cluster) : err(`the log ends at offset ${tailOffset}, before the state's offset`);
	});
}

/**
Creates the connection; `start` must be called before anything else.

@example
const connection = createLogConnection({settings, token, logService, snapshots, eventLog, metrics, dispatch, state, recordPage: monitor.recordPage});
await connection.start(incarnation);
*/
export function createLogConnection({settings, token, logService, snapshots, eventLog, metrics, dispatch, state, recordPage}: Readonly<{
	settings: EntrySettings;
	/** Operators' token, sent to peers; without it no state is requested from peers. */
	token: string | undefined;
	logService: LogService;
	snapshots: SnapshotStore;
	eventLog: EventLog;
	metrics: Metrics;
	dispatch: (event: EntryEvent) => void;
	state: () => EntryState;
	recordPage: EntryMonitor['recordPage'];
}>): LogConnection {
	let writer: LogWriter | undefined;
	let reader: LogReader | undefined;
	let isLeaving = false;
	const refusedLimit = createLineLimit({linesPerSecond: refusedLinesPerSecond});
	const skippedLimit = createLineLimit({linesPerSecond: skippedLinesPerSecond});

	function openWriter(incarnation: string): void {
		writer = createLogWriter({
			service: logService,
			stream: settings.logStream,
			writer: settings.entryId,
			incarnation,
			appendIntervalMs: settings.timings.appendIntervalMs,
			maxBatchRecords,
			closeTimeoutMs: settings.timings.logCloseTimeoutMs,
			onStatus(status) {
				if (status.kind === 'appended') {
					metrics.timingMs('log.append', status.durationMs);
				} else {
					metrics.increment('log.append.failures');
					eventLog.debug('log-append-failed', {reason: status.error.message, failures: status.failures, pending: status.pendingCount});
				}
			},
		});
	}

	function append(record: ClusterRecord): void {
		const appended = writer?.append(record);
		const {isAllowed, omitted} = appended?.isErr ? refusedLimit(performance.now()) : {isAllowed: false, omitted: 0};
		if (appended?.isErr && isAllowed) {
			const {message, remedy} = appended.error;
			eventLog.warn('log-record-refused', {
				record: record.kind, reason: boundedText(message), remedy, omitted,
			});
		}
	}

	/** The log is read although one of its values is no record, so this is no outage. */
	function skipRecord(reason: string): void {
		metrics.increment('log.values.skipped');
		const {isAllowed, omitted} = skippedLimit(performance.now());
		if (isAllowed) {
			eventLog.warn('log-record-skipped', {reason, omitted});
		}
	}

	function openReader(): void {
		reader = createLogReader({
			service: logService,
			stream: settings.logStream,
			fromOffset: state().cluster.offset + 1,
			pauseMs: () => isReadAwaited(state()) ? settings.timings.pagePauseMs : settings.timings.idlePagePauseMs,
			onPage({records, readSentAtMs, reachedTail, tailOffset}) {
				recordPage({tailOffset, recordCount: records.length});
				dispatch({
					kind: 'log-page', records, readSentAtMs, reachedTail,
				});
			},
			onError(error) {
				if (error.kind === 'log-record-unreadable') {
					skipRecord(error.message);
				} else if (error.kind === 'log-page-failed') {
					eventLog.error('log-page-failed', {reason: error.message});
				} else {
					dispatch({kind: 'log-failed', message: error.message});
				}
			},
			async onRetentionPassed(firstRetainedOffset) {
				eventLog.warn('log-retention-passed', {offset: state().cluster.offset, firstRetainedOffset});
				await loadState();
				return state().cluster.offset + 1;
			},
		});
	}

	async function loadState(): Promise<void> {
		const loaded = await loadSnapshot();
		// Without the log, a peer's state is the newest one available.
		const cluster = loaded.isOk ? loaded.value : await loadFromPeer();
		if (cluster) {
			eventLog.info('state-loaded', {offset: cluster.offset, from: loaded.isOk ? 'snapshot' : 'peer'});
			dispatch({kind: 'snapshot-loaded', cluster});
		}
	}

	/** Returns the log's tail; infinity when it cannot be read. */
	async function readTailOffset(): Promise<number> {
		const bounds = await logService.bounds(settings.logStream);
		return bounds.map(({tailOffset}) => tailOffset).unwrapOr(Number.POSITIVE_INFINITY);
	}

	async function loadFromPeer(): Promise<ClusterState | undefined> {
		return token === undefined
			? undefined
			: fetchPeerState({
				addresses: settings.peerOperatorAddresses,
				token,
				onUnusable({address, reason}) {
					eventLog.error('peer-state-invalid', {address, reason});
				},
			});
	}

	async function useSnapshot(snapshot: Snapshot, tailOffset: number): Promise<Result<ClusterState, string>> {
		// A snapshot beyond the tail may have been written after the tail was read.
		return decodeSnapshot(snapshot, snapshot.coversOffset < tailOffset ? tailOffset : await readTailOffset());
	}

	/** Retries if peers cannot be used in place of the snapshot: without either, the entry has to read the whole retained log. */
	async function loadSnapshot(): Promise<Result<ClusterState | undefined, LogError>> {
		for (let tries = 1; ; tries++) {
			const tailRead = readTailOffset();
			const loaded = await snapshots.loadNewestUsable({
				use: async snapshot => useSnapshot(snapshot, await tailRead),
				onPassedOver({coversOffset, reason}) {
					eventLog.error('snapshot-invalid', {coversOffset, reason});
				},
			});
			if (loaded.isOk) {
				return loaded;
			}

			eventLog.warn('snapshot-not-read', {reason: loaded.error.message, tries});
			if (token !== undefined || tries === maxSnapshotTries) {
				return loaded;
			}

			await delay(snapshotRetryDelayMs);
		}
	}

	async function writeSnapshot(): Promise<void> {
		const {cluster} = state();
		const failure = await tryToWriteSnapshot(cluster);
		if (failure !== undefined) {
			eventLog.warn('snapshot-failed', {reason: failure});
		}

		dispatch({kind: 'snapshot-written', coversOffset: failure === undefined ? cluster.offset : -1});
	}

	/** Returns why the snapshot was not written. */
	async function tryToWriteSnapshot(cluster: ClusterState): Promise<string | undefined> {
		try {
			const written = await snapshots.write({snapshotId: randomUUID(), coversOffset: cluster.offset, value: encodeClusterState(cluster)});
			return written.isErr ? written.error.message : undefined;
		} catch (error) {
			return describeThrown(error).reason;
		}
	}

	return {
		async start(incarnation) {
			await loadState();
			openWriter(incarnation);
			openReader();
		},
		append(record) {
			if (!isLeaving) {
				append(record);
			}
		},
		pendingAppends: () => writer?.pendingCount() ?? 0,
		confirmTail() {
			void reader?.confirmTail();
		},
		writeSnapshot() {
			void writeSnapshot();
		},
		restartWriter(incarnation) {
			if (!isLeaving) {
				// Every reader ignores records of an incarnation that has ended.
				writer?.drop(() => true);
				void writer?.close();
				openWriter(incarnation);
			}
		},
		async leave(entryId) {
			const {incarnation} = state();
			append({
				kind: 'entry-ended', entryId, incarnation, reason: 'graceful stop',
			});
			isLeaving = true;
			await writer?.close();
		},
		async close() {
			// An open read ends by itself, but during an outage of the log it would delay the stop.
			await Promise.race([reader?.close(), delay(settings.timings.logCloseTimeoutMs, undefined, {ref: false})]);
		},
	};
}
