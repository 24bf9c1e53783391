import {err, ok, type Result} from 'true-myth/result';
import {type ScoreInputs} from '../cluster/cluster-record.js';
import {
	type ClusterState, type KeyClaim, type PlanDecision, type Task, type TaskClaim,
} from '../cluster/cluster-state.js';
import {type Resources} from '../cluster/resources.js';
import {absenceReasonOf} from '../cluster/task-creation.js';
import {type TypedError} from '../errors/typed-error.js';
import {type Explanation} from './operator-api.js';

/**
Describes the decision about a subject, with the figures that it was based on. The subject is the identifier of a task, plan or request,
or the hash of a request's key. `requestLines` describes the request with that identifier, when the entry has recorded one.

Errors: `subject-unknown` when nothing with that identifier is recorded.

@example
explainSubject(state, 't1', undefined).map(explanation => explanation.lines);
*/
export function explainSubject(
	state: ClusterState,
	subject: string,
	requestLines: readonly string[] | undefined,
): Result<Explanation, TypedError<'subject-unknown'>> {
	const task = state.tasks.get(subject);
	if (task !== undefined) {
		return ok({subject, kind: 'task', lines: explainTask(state, task)});
	}

	const absenceReason = absenceReasonOf(state, subject);
	if (absenceReason !== undefined) {
		return ok({subject, kind: 'task', lines: [`Task ${subject} ${absenceReason === 'ended' ? 'has ended' : absenceReason}; the cluster state holds no record of it.`]});
	}

	const decision = state.planDecisions.get(subject);
	if (decision !== undefined) {
		return ok({subject, kind: 'plan', lines: explainPlan(state, decision)});
	}

	const claim = state.keys.get(subject);
	if (claim !== undefined) {
		return ok({subject, kind: 'key', lines: explainKey(state, claim)});
	}

	if (requestLines !== undefined) {
		return ok({subject, kind: 'request', lines: requestLines});
	}

	return err({
		kind: 'subject-unknown',
		message: `no task, plan, key or request "${subject}" is known at offset ${state.offset}`,
		remedy: 'check the identifier, or ask the entry that took the request; ended tasks and old keys are forgotten',
	});
}

function explainTask(state: ClusterState, task: Task): readonly string[] {
	const {spec, claim} = task;
	const taskClass = `team ${task.teamId}, ${task.workClass}, ${task.priority}`;
	const reason = task.reason === '' ? '' : `: ${task.reason}`;
	const position = queuePosition(state, task);
	return [
		`Task ${spec.taskId} of job ${task.jobId} (${taskClass}) is ${task.phase}${reason}.`,
		`It was submitted at offset ${task.submittedOffset}, changed last at offset ${task.changedOffset} and declares ${formatResources(spec.demand)} for ${spec.declaredRunTimeMs} ms.`,
		...(position === undefined ? [] : [`It waits at place ${position} of the ${task.priority} queue.`]),
		...(claim === undefined ? [] : explainClaim(task.attempt, claim)),
		...(task.evictions === 0 ? [] : [`It was evicted ${formatCount(task.evictions)} and ${task.checkpoint === '' ? 'has no checkpoint' : 'resumes from its checkpoint'}.`]),
		...(task.failures === 0 ? [] : [`It failed ${formatCount(task.failures)}${task.failedOnVmIds.length === 0 ? '' : `, on ${task.failedOnVmIds.join(', ')}`}.`]),
	];
}

function explainClaim(attempt: number, claim: TaskClaim): readonly string[] {
	const {decision} = claim;
	return [
		`Attempt ${attempt} is bound to VM ${claim.vmId} (agent ${claim.agentIncarnation}) by the claim at offset ${claim.claimOffset}, which commits ${formatResources(claim.committed)}.`,
		`Policy ${decision.policy} with seed ${decision.seed} decided on the state at offset ${decision.stateOffset} and considered ${decision.consideredVms} VMs: ${decision.reason}.`,
		...decision.candidates.map(({vmId, scoreMilli, harmMilli, room, inputs}, index) =>
			`Candidate ${index + 1}: ${vmId}, score ${scoreMilli} milli, harm ${harmMilli} milli, room ${formatResources(room)}${explainInputs(inputs)}${vmId === claim.vmId ? ', chosen' : ''}.`),
		...(claim.evictTaskIds.length === 0 ? [] : [`It evicts ${claim.evictTaskIds.join(', ')} first to make room.`]),
	];
}

function explainInputs(inputs: ScoreInputs | undefined): string {
	const {serviceHarmMilli, siblingsInRack, siblingsInFailureDomain, failedBefore, wastesAccelerators, evictions} = inputs ?? {};
	return [
		serviceHarmMilli === undefined ? '' : `, of the harm ${serviceHarmMilli} milli to services`,
		siblingsInRack === undefined ? '' : `, ${siblingsInRack} tasks of the job in its rack`,
		siblingsInFailureDomain === undefined ? '' : `, ${siblingsInFailureDomain} tasks of the job in its failure domain`,
		failedBefore ? ', an earlier attempt failed there' : '',
		wastesAccelerators ? ', its accelerators would be wasted' : '',
		evictions === undefined ? '' : `, ${evictions} evictions needed`,
	].join('');
}

function queuePosition(state: ClusterState, task: Task): number | undefined {
	const index = state.queued.get(task.priority)?.keySeq().indexOf(task.spec.taskId) ?? -1;
	return index === -1 ? undefined : index + 1;
}

function explainPlan(state: ClusterState, decision: PlanDecision): readonly string[] {
	return [
		decision.accepted
			? `Plan ${decision.planId} was accepted at offset ${decision.offset}.`
			: `Plan ${decision.planId} was rejected at offset ${decision.offset}: ${decision.reason}.`,
		`The newest accepted configuration is that of offset ${state.configuration.offset}.`,
	];
}

function explainKey(state: ClusterState, claim: KeyClaim): readonly string[] {
	const vm = state.vms.get(claim.vmId);
	const isCurrent = vm?.agentIncarnation === claim.agentIncarnation;
	return [
		`Key ${claim.keyHash} belongs to service ${claim.service}.`,
		`It is bound to agent ${claim.agentIncarnation} on VM ${claim.vmId} and to backend server ${claim.backendServerId} by the claim at offset ${claim.claimOffset}.`,
		isCurrent
			? 'That agent is current: it holds the outcome and gives it to every retry.'
			: `That agent is gone (${vm === undefined ? 'the VM is unknown' : `the VM now runs agent ${vm.agentIncarnation}`}): retries are answered "outcome unknown".`,
		`Claims at or below offset ${state.keysForgottenThroughOffset} are forgotten.`,
	];
}

function formatResources(resources: Resources): string {
	return `${resources.processorsMilli / 1000} cores, ${resources.memoryMb} MB and ${resources.accelerators} accelerators`;
}

function formatCount(count: number): string {
	return count === 1 ? 'once' : `${count} times`;
}
