import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {type ControlEffect, type Transition} from '../entry/control-effect.js';

/** A time in which jobs of a pool are refused. */
export type RefusalPeriod = Readonly<{startedAtMs: number; lastRefusedAtMs: number; refused: number}>;

/** Periods by pool. */
export type RefusalPeriods = ImmutableMap<string, RefusalPeriod>;

export const noRefusalPeriods: RefusalPeriods = immutableMap();

/** A period ends when no job of the pool was refused for this long: about the time between two bursts. */
const endsAfterMs = 5000;

/** Figures of a refusal, for the log line at the begin of a period. */
export type RefusalFigures = Readonly<{aheadWork: number; rateMilli: number; waitMs: number; endsInMs: number; allowedMs: number}>;

/**
Records the refusal of a job, with a log line when it is the first of a period.

@example
recordRefusal(noRefusalPeriods, 'filling/site', figures, nowMs).effects.length; // => 1
*/
export function recordRefusal(periods: RefusalPeriods, poolKey: string, figures: RefusalFigures, nowMs: number): Transition<RefusalPeriods> {
	const period = periods.get(poolKey);
	return {
		state: periods.set(poolKey, {startedAtMs: period?.startedAtMs ?? nowMs, lastRefusedAtMs: nowMs, refused: (period?.refused ?? 0) + 1}),
		effects: period
			? []
			: [{
				kind: 'log-event',
				level: 'warn',
				event: 'job-admission-refusing',
				fields: {
					pool: poolKey,
					backlogProcessorMs: Math.round(figures.aheadWork / 1000),
					rateMilli: Math.round(figures.rateMilli),
					waitMs: Math.round(figures.waitMs),
					endsInMs: Math.round(figures.endsInMs),
					allowedMs: Math.round(figures.allowedMs),
				},
			}],
	};
}

/**
Ends the periods without a recent refusal, with a log line for each.

@example
endRefusalPeriods(periods, () => ({backlogProcessorMs: 0, rateMilli: 690_000}), nowMs);
*/
export function endRefusalPeriods(
	periods: RefusalPeriods,
	figuresOf: (poolKey: string) => Readonly<{backlogProcessorMs: number; rateMilli: number}>,
	nowMs: number,
): Transition<RefusalPeriods> {
	const effects: ControlEffect[] = [];
	const state = periods.filter(({startedAtMs, lastRefusedAtMs, refused}, poolKey) => {
		const isOver = nowMs - lastRefusedAtMs >= endsAfterMs;
		if (isOver) {
			effects.push({
				kind: 'log-event',
				level: 'info',
				event: 'job-admission-accepting',
				fields: {
					pool: poolKey, refused, lastedMs: Math.round(lastRefusedAtMs - startedAtMs), ...figuresOf(poolKey),
				},
			});
		}

		return !isOver;
	});
	return {state, effects};
}
