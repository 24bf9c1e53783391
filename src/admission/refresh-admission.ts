import {type ClusterState} from '../cluster/cluster-state.js';
import {type Transition} from '../entry/control-effect.js';
import {arrivalRatesOf} from './accepted-work.js';
import {type AdmissionState} from './admission-state.js';
import {measureBacklogs, type BacklogContext} from './measure-backlog.js';
import {endRefusalPeriods} from './refusal-periods.js';
import {prunePromises, type SlotPromises} from './slot-promises.js';
import {
	sortWork, workUpTo, type SortedWork, type WorkSum,
} from './sorted-work.js';
import {pruneUnreadJobs} from './unread-jobs.js';

/** Age up to which a measurement is used. A measurement walks all unfinished jobs, and the deciders have a third of a processor. */
const measuredEveryMs = 250;

/**
Measures the backlogs again if the newest measurement is old. Call it before a decision; without submissions nothing is measured.

@example
const current = refreshAdmission(admission, {cluster, fillingRoomByVm, fillingLimitMilliOf, runTimes, wallTimeMs, nowMs});
*/
export function refreshAdmission(state: AdmissionState, context: BacklogContext & Readonly<{nowMs: number}>): AdmissionState {
	const {cluster, nowMs} = context;
	if (nowMs - state.measured.measuredAtMs < measuredEveryMs) {
		return state;
	}

	const promises = prunePromises(state.promises, nowMs);
	const promised = promisedByPool(promises);
	return {
		...state,
		promises,
		unread: pruneUnreadJobs(state.unread, cluster, nowMs),
		measured: {
			measuredAtMs: nowMs,
			backlogs: measureBacklogs(context),
			rates: arrivalRatesOf(state.accepted, nowMs),
			promised,
			promisedWork: new Map([...promised].map(([poolKey, jobs]) => [poolKey, workUpTo(jobs, Number.POSITIVE_INFINITY).work])),
		},
	};
}

function promisedByPool(promises: SlotPromises): ReadonlyMap<string, SortedWork> {
	const byPool = new Map<string, WorkSum[]>();
	for (const {poolKey, work, holdsCapacity} of promises.values()) {
		if (!holdsCapacity) {
			continue;
		}

		const ofPool = byPool.get(poolKey) ?? [];
		byPool.set(poolKey, ofPool);
		ofPool.push({work, demandMilli: 0});
	}

	return new Map([...byPool].map(([poolKey, jobs]) => [poolKey, sortWork(jobs)]));
}

/**
Ends the periods of refusing that are over, with a log line for each.

@example
const {state, effects} = tickAdmission(admission, cluster, nowMs);
*/
export function tickAdmission(state: AdmissionState, cluster: ClusterState, nowMs: number): Transition<AdmissionState> {
	if (state.periods.isEmpty()) {
		return {state, effects: []};
	}

	const {state: periods, effects} = endRefusalPeriods(state.periods, poolKey => {
		const backlog = state.measured.backlogs.get(poolKey);
		const classes = Object.values(backlog?.byClass ?? {});
		const work = classes.reduce((sum, {startedWork, waiting}) => sum + startedWork + (waiting.workSums.at(-1) ?? 0), 0);
		return {backlogProcessorMs: Math.round(work / 1000), rateMilli: Math.round(backlog?.capacityMilli ?? 0)};
	}, nowMs);
	return {state: {...state, periods, unread: pruneUnreadJobs(state.unread, cluster, nowMs)}, effects};
}
