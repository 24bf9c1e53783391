/** Time between two checks of all deciders while one of them answers. */
const usualPauseMs = 1000;

/** Time between two checks while none answers. A balancer that checks each second otherwise learns up to two seconds late that the front can serve. */
export const quickCheckPauseMs = 250;

/** Quick checks in a row, 10 s of them: a front whose deciders are gone for longer checks at the usual pace. */
const maxQuickChecks = 40;

/**
Returns the time between two checks of the deciders by a front. All fronts of a deployment check quickly after a loss of power, so that the number
of quick checks is bounded.

@example
checkPauseMs({isReady: false, quickChecks: 0}); // => 250
*/
export function checkPauseMs({isReady, quickChecks}: Readonly<{isReady: boolean; quickChecks: number}>): number {
	return isReady || quickChecks >= maxQuickChecks ? usualPauseMs : quickCheckPauseMs;
}
