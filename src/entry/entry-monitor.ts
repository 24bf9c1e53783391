import {type EntrySettings} from '../settings/entry-settings.js';
import {ownsPlacement} from '../placement/placement-owner.js';
import {initialPlacementWait, logLongPlacementWaits} from '../placement/log-long-placement-waits.js';
import {type Metrics} from '../telemetry/metrics.js';
import {type ControlEffect} from './control-effect.js';
import {initialLag, evaluateEntryLag, type LagSample} from './entry-lag.js';
import {type EntryState} from './entry-state.js';

/** Parts of a transition of the reducer that are measured separately. */
export type MeasuredPart = 'placement';

/** Runs a part of a transition and records its duration. */
export type MeasurePart = <Result>(part: MeasuredPart, run: () => Result) => Result;

/** Measures how far an entry is behind. The recording functions are cheap; their maxima are evaluated in `report`, once a second. */
export type EntryMonitor = Readonly<{
	recordTick: () => void;
	recordPage: (page: Readonly<{tailOffset: number; recordCount: number}>) => void;
	/** Runs a transition of the reducer and records its duration. */
	measureTransition: <Result>(event: string, run: () => Result) => Result;
	measurePart: MeasurePart;
	/** Returns the duration of the newest placement pass in milliseconds; 0 before the first. */
	newestPassMs: () => number;
	report: (inputs: Readonly<{state: EntryState; pendingAppends: number}>) => void;
}>;

/**
Creates the monitor of an entry. `tickMs` is the time between two calls of `recordTick` on an idle event loop.

@example
const monitor = createEntryMonitor({tickMs: 50, settings, metrics, execute, nowMs: () => performance.now()});
monitor.recordTick();
*/
export function createEntryMonitor({tickMs, settings, metrics, execute, nowMs}: Readonly<{
	tickMs: number;
	settings: EntrySettings;
	metrics: Metrics;
	execute: (effect: ControlEffect) => void;
	nowMs: () => number;
}>): EntryMonitor {
	let lag = initialLag;
	let placementWait = initialPlacementWait;
	let lastTickMs: number | undefined;
	let tailOffset = 0;
	let eventLoopDelayMs = 0;
	let largestPageRecords = 0;
	let longestStepMs = 0;
	let longestStepEvent = '';
	let longestPassMs = 0;
	let newestPassMs = 0;

	function sampleOf(state: EntryState, pendingAppends: number): LagSample {
		const atMs = nowMs();
		return {
			nowMs: atMs,
			// Includes the delay so far of a tick that is overdue.
			eventLoopDelayMs: Math.max(eventLoopDelayMs, lastTickMs === undefined ? 0 : atMs - lastTickMs - tickMs),
			ageOfNewestReadMs: atMs - state.log.tailConfirmedSentAtMs,
			recordsBehind: Math.max(0, tailOffset - state.cluster.offset - 1),
			pendingAppends,
			largestPageRecords,
			longestStepMs,
			longestStepEvent,
			ownsPlacement: ownsPlacement(state.cluster, state.incarnation),
		};
	}

	function reportGauges(sample: LagSample): void {
		metrics.gauge('loop.delay', Math.round(sample.eventLoopDelayMs));
		metrics.gauge('loop.longest-step', Math.round(sample.longestStepMs));
		metrics.gauge('log.records-behind', sample.recordsBehind);
		metrics.gauge('log.largest-page', sample.largestPageRecords);
		metrics.gauge('placement.owner', sample.ownsPlacement ? 1 : 0);
	}

	return {
		recordTick() {
			const atMs = nowMs();
			if (lastTickMs !== undefined) {
				const delayMs = Math.max(0, atMs - lastTickMs - tickMs);
				metrics.timingMs('loop.tick-delay', delayMs);
				eventLoopDelayMs = Math.max(eventLoopDelayMs, delayMs);
			}

			lastTickMs = atMs;
		},
		recordPage(page) {
			tailOffset = Math.max(tailOffset, page.tailOffset);
			largestPageRecords = Math.max(largestPageRecords, page.recordCount);
		},
		measureTransition(event, run) {
			const startMs = nowMs();
			const result = run();
			const durationMs = nowMs() - startMs;
			if (durationMs > longestStepMs) {
				longestStepMs = durationMs;
				longestStepEvent = event;
			}

			return result;
		},
		measurePart(part, run) {
			const startMs = nowMs();
			const result = run();
			const passMs = nowMs() - startMs;
			metrics.timingMs('placement.pass', passMs);
			longestPassMs = Math.max(longestPassMs, passMs);
			newestPassMs = passMs;
			return result;
		},
		newestPassMs: () => newestPassMs,
		report({state, pendingAppends}) {
			const sample = sampleOf(state, pendingAppends);
			reportGauges(sample);
			const lagTransition = evaluateEntryLag(lag, sample, settings.timings);
			lag = lagTransition.state;
			const waiting = logLongPlacementWaits(placementWait, {
				cluster: state.cluster,
				pending: state.placement.pending,
				fillingRoomByVm: state.placement.fillingRoomByVm,
				isOwner: sample.ownsPlacement,
				nowMs: sample.nowMs,
				longestPassMs,
			});
			placementWait = waiting.state;
			for (const effect of [...lagTransition.effects, ...waiting.effects]) {
				execute(effect);
			}

			metrics.gauge('placement.oldest-wait', waiting.oldestWaitMs);
			metrics.gauge('placement.longest-lasting-wait', waiting.longestLastingWaitMs);
			eventLoopDelayMs = 0;
			largestPageRecords = 0;
			longestStepMs = 0;
			longestStepEvent = '';
			longestPassMs = 0;
		},
	};
}
