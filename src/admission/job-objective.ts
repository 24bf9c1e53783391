import {type Workflow} from '../cluster/workflow.js';

/** A job that takes more than this many times its objective is of no use to its caller; as in the queue order. */
export const abandonedFactor = 3;

/**
Returns the time that a job may take, in milliseconds.

@example
jobObjectiveMs({submittedAtMs: 0, stretchMilli: 2000, slackMs: 1000}, 6200); // => 13_400
*/
export function jobObjectiveMs({stretchMilli, slackMs}: NonNullable<Workflow['objective']>, declaredPathMs: number): number {
	return (declaredPathMs * stretchMilli / 1000) + slackMs;
}
