import {applyIntent} from './apply-intent.js';
import {checkIntent} from './check-intent.js';
import {type ClusterState} from './cluster-state.js';
import {markChanged} from './entity-offsets.js';
import {type Plan} from './intent.js';
import {type RecordHandlers} from './record-handler.js';
import {MAX_PLAN_DECISIONS} from './state-limits.js';
import {touchedEntities} from './touched-entities.js';

/** Describes why a plan is rejected; empty when it may take effect. */
function rejectionReason(state: ClusterState, plan: Plan, touched: ReadonlySet<string>, offset: number): string {
	if (plan.baseOffset >= offset) {
		return `the plan names base offset ${plan.baseOffset}, which is not before its confirmation at ${offset}`;
	}

	if (plan.intent.kind === 'submit-job' && plan.baseOffset < state.earlyCancellationsForgottenThroughOffset) {
		return `the job may have been cancelled since the plan's base offset ${plan.baseOffset}`;
	}

	const changed = [...touched].filter(name => (state.entityOffsets.get(name) ?? -1) > plan.baseOffset);
	if (changed.length > 0) {
		return changed
			.map(name => `${name} changed at offset ${state.entityOffsets.get(name)!}, after the plan's base offset ${plan.baseOffset}`)
			.join('; ');
	}

	return checkIntent(state, plan.intent).match({Ok: () => '', Err: error => error.message});
}

/** Handles confirmed plans. A plan ID is decided once; further confirmations of it are ignored. */
export const planHandlers: RecordHandlers<'plan-confirmed'> = {
	'plan-confirmed'(state, {plan}, {offset}) {
		const {planId, intent} = plan;
		if (state.planDecisions.has(planId)) {
			return state;
		}

		// Includes the entities that the intent touches now, which may be more than the plan listed when it was computed.
		const touched = new Set([...plan.touches, ...touchedEntities(state, intent)]);
		const reason = rejectionReason(state, plan, touched, offset);
		const accepted = reason === '';
		const decisions = state.planDecisions.set(planId, {
			planId, offset, accepted, reason,
		});
		const oldest: string | undefined = decisions.keySeq().first();
		const decided: ClusterState = {
			...state,
			planDecisions: decisions.size > MAX_PLAN_DECISIONS && oldest !== undefined ? decisions.delete(oldest) : decisions,
		};
		return accepted
			? markChanged(applyIntent(decided, intent, offset), offset, touchedEntities(state, intent))
			: decided;
	},
};
