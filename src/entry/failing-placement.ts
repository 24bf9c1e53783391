import {type ControlEffect} from './control-effect.js';

/** Placement passes of an entry that all fail: when the first and the newest one failed, and the offset through which the log was applied at the first. */
export type FailingPlacement = Readonly<{sinceMs: number; untilMs: number; offset: number}>;

/** Time of nothing but failed passes after which an entry gives the placement up. Another one takes it over about 2 s later. */
const maxFailingMs = 1000;

/** Time without a failed pass after which an entry that gave the placement up takes part in it again. Most passes of an entry that does not place do nothing, and cannot fail. */
const resumeAfterMs = 10_000;

/**
Returns whether an entry has given the placement up.

@example
hasGivenPlacementUp({sinceMs: 1000, untilMs: 2000, offset: 7}); // => true
*/
export function hasGivenPlacementUp(failing: FailingPlacement | undefined): boolean {
	return failing !== undefined && failing.untilMs - failing.sinceMs >= maxFailingMs;
}

/**
Records a pass that threw.

@param at time of the pass in milliseconds and the offset through which the log is applied.

@example
recordFailedPass(undefined, {nowMs: 1000, offset: 7}); // => {sinceMs: 1000, untilMs: 1000, offset: 7}
*/
export function recordFailedPass(failing: FailingPlacement | undefined, {nowMs, offset}: Readonly<{nowMs: number; offset: number}>): FailingPlacement {
	return failing === undefined ? {sinceMs: nowMs, untilMs: nowMs, offset} : {...failing, untilMs: nowMs};
}

/**
Records a pass that did not throw.

@example
recordPass({sinceMs: 1000, untilMs: 1500, offset: 7}, 1600); // => undefined
*/
export function recordPass(failing: FailingPlacement | undefined, nowMs: number): FailingPlacement | undefined {
	return failing !== undefined && hasGivenPlacementUp(failing) && nowMs - failing.untilMs < resumeAfterMs ? failing : undefined;
}

/**
Makes the heartbeats of an entry that has given the placement up name the offset at its first failed pass. All entries, those of earlier versions
too, then see in the log that it is behind, and leave the placement to the next one by rank.

@example
giveUpInHeartbeats(effects, state.failingPlacement);
*/
export function giveUpInHeartbeats(effects: readonly ControlEffect[], failing: FailingPlacement | undefined): readonly ControlEffect[] {
	return failing === undefined || !hasGivenPlacementUp(failing)
		? effects
		: effects.map(effect => effect.kind === 'append-record' && effect.record.kind === 'entry-alive'
			? {...effect, record: {...effect.record, appliedOffset: failing.offset}}
			: effect);
}
