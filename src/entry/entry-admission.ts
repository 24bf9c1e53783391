import {recordAcceptedWork} from '../admission/accepted-work.js';
import {type AdmissionState} from '../admission/admission-state.js';
import {decideAdmission, type AdmissionDecision} from '../admission/decide-admission.js';
import {measuredEndsOf, recordMeasuredEnds} from '../admission/measured-ends.js';
import {refreshAdmission, tickAdmission} from '../admission/refresh-admission.js';
import {type RunTimes} from '../admission/run-times.js';
import {recordAcceptedJob, refuseBeyondBudget} from '../admission/state-budget.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type Job} from '../cluster/intent.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {fillingLimitMilliOf} from '../placement/filling-limits.js';
import {expectedRunTimeMs} from '../placement/run-time-estimates.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {type JobAdmission} from './deferred-answers.js';
import {type EntryEffect} from './entry-effect.js';
import {type EventInputs, type SubmitOrigin} from './entry-event.js';
import {type EntryState} from './entry-state.js';

/**
Returns the run times that the admission uses: the learned ones, with the ends of the queue's tasks as samples.

@example
runTimesOf(state).expectedRunTimeMs({queue, stepIndex: 0, step});
*/
export function runTimesOf({admission, runTimes}: EntryState): RunTimes {
	return {
		expectedRunTimeMs: step => expectedRunTimeMs(runTimes, step),
		sampleCountOf: ({queue}) => measuredEndsOf(admission.ends, queue),
	};
}

/**
Returns the admission of jobs: within the memory for them, and in overload where the settings enable it.

@example
requestDeferredAnswer(state.deferred, {replyId, subject}, context, admissionOf(state, inputs, settings));
*/
export function admissionOf(state: EntryState, inputs: EventInputs, settings: EntrySettings): JobAdmission {
	const {cluster} = state;
	const {nowMs} = inputs;
	const decideByMemory = (admission: AdmissionState, job: Job, decideFurther = acceptJob): AdmissionDecision => {
		const {state: budget, effects, refusal} = refuseBeyondBudget(admission.budget, job, {
			cluster, limitBytes: settings.limits.jobBytes ?? Number.POSITIVE_INFINITY, nowMs,
		});
		const current = {...admission, budget};
		if (refusal) {
			return {state: current, verdict: {isAccepted: false, ...refusal}, effects};
		}

		const decision = decideFurther(current, job);
		return decision.verdict.isAccepted ? {...decision, state: {...decision.state, budget: recordAcceptedJob(budget, job, nowMs)}} : decision;
	};

	return {
		state: state.admission,
		decide: (admission, job, origin) => settings.jobAdmission.enabled
			? decideByMemory(admission, job, current => decideInOverload(current, job, origin, {state, inputs, settings}))
			: decideByMemory(admission, job),
		decideByMemory: (admission, job) => decideByMemory(admission, job),
	};
}

const acceptJob = (state: AdmissionState, job: Job): AdmissionDecision => ({state, verdict: {isAccepted: true, why: 'not-limited', job}, effects: []});

/** Decides on a job by the time at which it would end, with the backlogs measured. */
function decideInOverload(
	admission: AdmissionState,
	job: Job,
	{callerFailureDomain}: SubmitOrigin,
	{state, inputs: {nowMs, wallTimeMs}, settings: {jobAdmission}}: Readonly<{state: EntryState; inputs: EventInputs; settings: EntrySettings}>,
): AdmissionDecision {
	const {cluster} = state;
	const runTimes = runTimesOf(state);
	const current = refreshAdmission(admission, {
		cluster,
		fillingRoomByVm: state.placement.fillingRoomByVm,
		fillingLimitMilliOf: service => fillingLimitMilliOf(state.placement.fillingLimits, service),
		runTimes,
		wallTimeMs,
		nowMs,
	});
	return decideAdmission(current, job, {
		cluster, settings: jobAdmission, runTimes, callerFailureDomain, nowMs, wallTimeMs,
	});
}

/**
Records what the admission learns from the records of a page.

@example
const next = recordForAdmission(state, page.records, {before, nowMs, settings});
*/
export function recordForAdmission(state: EntryState, records: readonly LoggedRecord[], {before, nowMs, settings}: Readonly<{before: ClusterState; nowMs: number; settings: EntrySettings}>): EntryState {
	return settings.jobAdmission.enabled
		? {
			...state,
			admission: {
				...state.admission,
				ends: recordMeasuredEnds(state.admission.ends, records, before),
				accepted: recordAcceptedWork(state.admission.accepted, records, {runTimes: runTimesOf(state), nowMs}),
			},
		}
		: state;
}

/**
Ends the periods of refusing that are over.

@example
const {state: next, effects} = tickEntryAdmission(state, nowMs);
*/
export function tickEntryAdmission(state: EntryState, nowMs: number): Readonly<{state: EntryState; effects: readonly EntryEffect[]}> {
	const {state: admission, effects} = tickAdmission(state.admission, state.cluster, nowMs);
	return {state: {...state, admission}, effects};
}
