import {type PriorityClass} from '../cluster/intent.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {jobWorkOf} from './job-work.js';
import {poolKeyOf, priorityClasses} from './measure-backlog.js';
import {type RunTimes} from './run-times.js';
import {
	noWork, sortWork, workUpTo, type SortedWork,
} from './sorted-work.js';

/** A job that some decider accepted, as read from the log. */
type AcceptedJob = Readonly<{poolKey: string; priority: PriorityClass; work: number; readAtMs: number}>;

/** The jobs read from the log within `rateWindowMs`, oldest first, of which this entry has read since `sinceMs`. */
export type AcceptedWork = Readonly<{jobs: readonly AcceptedJob[]; sinceMs: number | undefined}>;

export const noAcceptedWork: AcceptedWork = {jobs: [], sinceMs: undefined};

/** Time over which the rate of arriving work is measured: a few bursts of 4 to 6 s with the time between them. */
const rateWindowMs = 20_000;

/** Shortest time that a rate is measured over, so that the first jobs after a start do not look like a flood. */
const minRateWindowMs = 5000;

const maxJobs = 4096;

/**
Records the submissions among the records of a page.

@example
recordAcceptedWork(noAcceptedWork, page.records, {runTimes, nowMs});
*/
export function recordAcceptedWork(accepted: AcceptedWork, records: readonly LoggedRecord[], {runTimes, nowMs}: Readonly<{runTimes: RunTimes; nowMs: number}>): AcceptedWork {
	const added: AcceptedJob[] = [];
	for (const {envelope: {record}} of records) {
		const workflow = record.kind === 'job-submitted' ? record.job.workflow : undefined;
		const job = workflow && jobWorkOf(workflow, runTimes);
		if (record.kind === 'job-submitted' && workflow && job) {
			added.push({
				poolKey: poolKeyOf(workflow.service, job.capacityKind), priority: record.job.priority, work: job.work, readAtMs: nowMs,
			});
		}
	}

	return added.length === 0 && accepted.sinceMs !== undefined
		? accepted
		: {jobs: [...accepted.jobs, ...added].slice(-maxJobs).filter(({readAtMs}) => nowMs - readAtMs <= rateWindowMs), sinceMs: accepted.sinceMs ?? nowMs};
}

/** Rates at which work arrives, by pool and class. */
export type ArrivalRates = Readonly<{worksByKey: ReadonlyMap<string, SortedWork>; windowMs: number}>;

/**
Sorts the accepted work of each pool and class, so that the rate up to a size is found quickly.

@example
arrivingMilliOf(arrivalRatesOf(accepted, nowMs), {poolKey: 'filling/site', priority: 'normal', work: 434_000_000}); // => 350_000
*/
export function arrivalRatesOf({jobs, sinceMs}: AcceptedWork, nowMs: number): ArrivalRates {
	const current = jobs.filter(({readAtMs}) => nowMs - readAtMs <= rateWindowMs);
	const byKey = new Map<string, AcceptedJob[]>();
	for (const job of current) {
		const key = `${job.priority} ${job.poolKey}`;
		const ofKey = byKey.get(key) ?? [];
		byKey.set(key, ofKey);
		ofKey.push(job);
	}

	return {
		worksByKey: new Map([...byKey].map(([key, ofKey]) => [key, sortWork(ofKey.map(({work}) => ({work, demandMilli: 0})))])),
		windowMs: Math.min(rateWindowMs, Math.max(minRateWindowMs, nowMs - (sinceMs ?? nowMs))),
	};
}

/**
Returns the rate of the arriving work that goes before a job, in millicores: that of more urgent classes, and of smaller jobs of its own class.

@example
arrivingMilliOf(rates, {poolKey: 'filling/site', priority: 'normal', work: 434_000_000}); // => 350_000
*/
export function arrivingMilliOf({worksByKey, windowMs}: ArrivalRates, {poolKey, priority, work}: Readonly<{poolKey: string; priority: PriorityClass; work: number}>): number {
	let sum = 0;
	for (const other of priorityClasses.slice(0, priorityClasses.indexOf(priority) + 1)) {
		// A job of the same size that arrives later goes behind this one.
		sum += workUpTo(worksByKey.get(`${other} ${poolKey}`) ?? noWork, other === priority ? work - 1 : Number.POSITIVE_INFINITY).work;
	}

	return sum / windowMs;
}
