import {err, ok, type Result} from 'true-myth/result';
import {type TypedError} from '../errors/typed-error.js';
import {checkIntent, type IntentErrorKind} from './check-intent.js';
import {type ClusterState} from './cluster-state.js';
import {
	type Intent, type Job, type Plan,
} from './intent.js';
import {missingCapacity} from './missing-capacity.js';
import {summarizePlan} from './plan-summary.js';
import {fitsInto} from './resources.js';
import {touchedEntities} from './touched-entities.js';

export type PlanError = TypedError<IntentErrorKind | 'task-unplaceable' | 'quota-too-small'>;

/** Returns an error for the first task of a job that no VM could hold or that exceeds its team's quota. */
function findUnplaceableTask(state: ClusterState, job: Job): PlanError | undefined {
	const quota = state.configuration.quotas.get(job.teamId);
	const checked = new Set<string>();
	for (const {taskId, demand} of job.tasks) {
		// Most tasks of a job have the same demand, which is checked against the VMs only once.
		const key = `${demand.processorsMilli}/${demand.memoryMb}/${demand.accelerators}`;
		if (checked.has(key)) {
			continue;
		}

		checked.add(key);
		const missing = missingCapacity(state.vms.filter(vm => vm.phase !== 'expired').values(), demand);
		if (missing !== undefined) {
			return {
				kind: 'task-unplaceable',
				message: `no VM could ever hold task ${taskId}: it ${missing}`,
				remedy: 'lower the demand of the task, or register a VM that is large enough',
			};
		}

		if (quota && !fitsInto(demand, quota)) {
			return {
				kind: 'quota-too-small',
				message: `task ${taskId} demands more than the whole quota of team ${job.teamId}`,
				remedy: 'lower the demand of the task, or raise the quota with a `set-quota` intent',
			};
		}
	}

	return undefined;
}

/**
Computes a plan for an operator's intent. The plan changes nothing until it is confirmed, and is rejected when an entity that it
touches changes before that. It expires `expiresInMs` after `nowMs`.

@example
computePlan(state, {kind: 'drain-backend-server', backendServerId: 'b3'}, {planId: 'p1', nowMs: Date.now(), expiresInMs: 600_000});
// => Ok({planId: 'p1', touches: ['backend-server/b3', 'service/loaf-ordering'], ...})
// or Err({kind: 'unknown-backend-server', ...})
*/
export function computePlan(
	state: ClusterState,
	intent: Intent,
	{planId, nowMs, expiresInMs}: Readonly<{planId: string; nowMs: number; expiresInMs: number}>,
): Result<Plan, PlanError> {
	const checked = checkIntent(state, intent);
	if (checked.isErr) {
		return err(checked.error);
	}

	const unplaceable = intent.kind === 'submit-job' ? findUnplaceableTask(state, intent.job) : undefined;
	return unplaceable
		? err(unplaceable)
		: ok({
			planId,
			intent,
			baseOffset: state.offset,
			touches: touchedEntities(state, intent),
			summary: summarizePlan(state, intent),
			createdAtMs: nowMs,
			expiresAtMs: nowMs + expiresInMs,
		});
}
