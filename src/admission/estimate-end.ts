import {type PriorityClass} from '../cluster/intent.js';
import {type JobWork} from './job-work.js';
import {priorityClasses, type Backlog} from './measure-backlog.js';
import {workUpTo, type WorkSum} from './sorted-work.js';

/** Work that is accepted or promised and not part of the measured backlog. */
export type WorkBeside = Readonly<{
	/** Accepted by this decider since the measurement, and by the others as far as can be expected. */
	accepted: WorkSum;
	/** Promised to callers who were refused and who come before the job. */
	promisedWork: number;
}>;

/** Inputs of the estimate of when a job would end. */
export type EndEstimateInputs = Readonly<{
	backlog: Backlog;
	priority: PriorityClass;
	job: JobWork;
	beside: WorkBeside;
	/** Work of jobs that will probably arrive and go before the job, in millicores. */
	arrivingMilli: number;
	/** Share of the capacity that floors of others keep from the job, in thousandths. */
	heldShareMilli: number;
}>;

/** When a job would end if it were accepted now. */
export type EndEstimate = Readonly<{
	/** Time until it ends, in milliseconds. */
	endsInMs: number;
	/** Time until its first tasks start. */
	waitMs: number;
	/** Work that goes before the job, in millicores times milliseconds. */
	aheadWork: number;
	/** Rate at which this work ends, in millicores. */
	rateMilli: number;
	/** Whether its first tasks can start at once. */
	fitsNow: boolean;
	/** Whether they can start at once even after those of all jobs that wait. */
	fitsBesideAll: boolean;
}>;

/** Share of the estimated wait that is counted, in thousandths: the rest is the uncertainty of run times and arrivals, in the caller's favour. */
const countedWaitMilli = 800;

/** Share of the arriving work that is counted, in thousandths: it arrived in the last seconds, and a burst may be over. With all of it, 1.8 times as many jobs were refused as ended too late in a simulated overload. */
const countedArrivalsMilli = 500;

/**
Share of the capacity that serves a job however much work goes before it, in thousandths. Load changes before a wait ends, so that no wait is estimated as
endless; twice this share found hardly more of the jobs that end too late in a simulated overload.
*/
const leastServedShareMilli = 150;

/**
Estimates when a job would end. Before it go the jobs of more urgent classes, the started jobs of its own class, those with less work that wait, and
those with less work that arrive meanwhile; all of them take the capacity at the rate at which it is released.

@example
estimateEnd(inputs).endsInMs; // => 9400
*/
export function estimateEnd({backlog, priority, job, beside, arrivingMilli, heldShareMilli}: EndEstimateInputs): EndEstimate {
	let aheadWork = beside.accepted.work + beside.promisedWork;
	let waitingDemandMilli = 0;
	for (const [index, other] of priorityClasses.entries()) {
		const {startedWork, waiting} = backlog.byClass[other];
		waitingDemandMilli += workUpTo(waiting, Number.POSITIVE_INFINITY).demandMilli;
		if (index <= priorityClasses.indexOf(priority)) {
			aheadWork += startedWork + workUpTo(waiting, other === priority ? job.work : Number.POSITIVE_INFINITY).work;
		}
	}

	const capacityMilli = backlog.capacityMilli * (1000 - heldShareMilli) / 1000;
	const rateMilli = Math.max(capacityMilli - (arrivingMilli * countedArrivalsMilli / 1000), capacityMilli * leastServedShareMilli / 1000);
	const demandMilli = backlog.startedDemandMilli + beside.accepted.demandMilli + job.readyDemandMilli;
	const waitMs = aheadWork / rateMilli * countedWaitMilli / 1000;
	return {
		endsInMs: waitMs + Math.max(job.pathMs, job.work / backlog.capacityMilli),
		waitMs,
		aheadWork,
		rateMilli,
		fitsNow: demandMilli <= backlog.capacityMilli,
		fitsBesideAll: demandMilli + waitingDemandMilli <= backlog.capacityMilli,
	};
}
