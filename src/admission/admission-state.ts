import {
	noAcceptedWork, arrivalRatesOf, type AcceptedWork, type ArrivalRates,
} from './accepted-work.js';
import {noCapacityShares, type CapacityShares} from './capacity-shares.js';
import {type Backlogs} from './measure-backlog.js';
import {noMeasuredEnds, type MeasuredEnds} from './measured-ends.js';
import {noRefusalPeriods, type RefusalPeriods} from './refusal-periods.js';
import {noJobSizes, type JobSizes} from './size-classes.js';
import {noSlotPromises, type SlotPromises} from './slot-promises.js';
import {initialStateBudget, type StateBudget} from './state-budget.js';
import {type SortedWork} from './sorted-work.js';
import {type UnreadJob} from './unread-jobs.js';

/** What the admission of jobs keeps between two decisions. Each part is bounded. It is not persisted; losing it with the process does no harm. */
export type AdmissionState = Readonly<{
	ends: MeasuredEnds;
	accepted: AcceptedWork;
	measured: Measurement;
	unread: readonly UnreadJob[];
	promises: SlotPromises;
	shares: CapacityShares;
	sizes: JobSizes;
	periods: RefusalPeriods;
	budget: StateBudget;
}>;

/** What is measured a few times a second, for all decisions until the next time. */
export type Measurement = Readonly<{
	measuredAtMs: number;
	backlogs: Backlogs;
	rates: ArrivalRates;
	/** Promised jobs by pool. */
	promised: ReadonlyMap<string, SortedWork>;
	/** Promised work by pool, with the promises given since. */
	promisedWork: ReadonlyMap<string, number>;
}>;

export const initialAdmission: AdmissionState = {
	ends: noMeasuredEnds,
	accepted: noAcceptedWork,
	measured: {
		measuredAtMs: Number.NEGATIVE_INFINITY, backlogs: new Map(), rates: arrivalRatesOf(noAcceptedWork, 0), promised: new Map(), promisedWork: new Map(),
	},
	unread: [],
	promises: noSlotPromises,
	shares: noCapacityShares,
	sizes: noJobSizes,
	periods: noRefusalPeriods,
	budget: initialStateBudget,
};
