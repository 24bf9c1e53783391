/** Longest time that a timer waits; a timer with a longer one runs at once, again and again. */
export const maxDurationMs = 2_147_483_647;
