/** Time from a claim to the start of the task. */
export const startDelayMs = 100;

/** Time from the end of a task until the entries have recorded it. */
export const endDelayMs = 100;

/** Time from the command to stop a task until the entries have recorded its checkpoint. */
export const stopDelayMs = 200;
