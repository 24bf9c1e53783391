import {recordAcceptedWork} from '../admission/accepted-work.js';
import {decideAdmission} from '../admission/decide-admission.js';
import {measuredEndsOf, recordMeasuredEnds} from '../admission/measured-ends.js';
import {refreshAdmission, tickAdmission} from '../admission/refresh-admission.js';
import {type RunTimes} from '../admission/run-times.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {fillingLimitMilliOf} from '../placement/filling-limits.js';
import {expectedRunTimeMs} from '../placement/run-time-estimates.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {type JobAdmission} from './deferred-answers.js';
import {type EntryEffect} from './entry-effect.js';
import {type EventInputs} from './entry-event.js';
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
Returns the admission of jobs with the backlogs measured; undefined when the settings do not enable it.

@example
requestDeferredAnswer(state.deferred, {replyId, subject}, context, admissionOf(state, inputs, settings));
*/
export function admissionOf(state: EntryState, {nowMs, wallTimeMs}: EventInputs, {jobAdmission}: EntrySettings): JobAdmission | undefined {
	if (!jobAdmission.enabled) {
		return undefined;
	}

	const {cluster} = state;
	const runTimes = runTimesOf(state);
	return {
		state: state.admission,
		decide(admission, job, {callerFailureDomain}) {
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
		},
	};
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
