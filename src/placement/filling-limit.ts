/** What the VMs of a service report about the supply of their running filling tasks. */
export type FillingSupplySums = Readonly<{
	/** Demand of the running filling tasks in the cluster state, and the part of it that the reports cover. */
	runningMilli: number;
	demandMilli: number;
	/** Demand of the queued tasks of started jobs, for which no VM has had room since the limit was evaluated last. */
	waitingMilli: number;
	/** What the tasks of the reports get of their demand. */
	suppliedMilli: number;
	/** Serving tasks on the VMs of the reports, and those that miss their target because of filling tasks. */
	servingTasks: number;
	impairedServingTasks: number;
}>;

/** Why a limit moved or stays. */
export type FillingLimitReason = 'supplied' | 'not-needed' | 'between' | 'few-reports' | 'short' | 'serving-impaired';

/** Limit of the demand of the started filling jobs of a service, in thousandths of the processors that filling tasks demand or are offered. */
export type FillingLimit = Readonly<{limitMilli: number; evaluatedAtMs: number; reason: FillingLimitReason}>;

/** Lowest limit, which holds without reports. At it, whole jobs ended in time on VMs of which nothing was known. */
export const minFillingLimitMilli = 600;

export const initialFillingLimit: FillingLimit = {limitMilli: minFillingLimitMilli, evaluatedAtMs: Number.NEGATIVE_INFINITY, reason: 'few-reports'};

/** Time between two evaluations: agents measure twice a second and report once a second, at different times. */
const evaluationIntervalMs = 500;
/** Rise of the limit in one evaluation, 100 a second: the default range takes 2 s, so that a burst of 4 s is served, and the first starts show their effect on the way. */
const riseMilli = 50;
/** Part of the limit above the minimum that an evaluation keeps when it falls: three quarters of it are gone within a second. */
const fallKeepsShare = 0.5;
/** Filling tasks that get this much of their demand, in thousandths, end in time. Some images are throttled beside some serving images at every limit, which costs about a fifth of the demand. */
const goodSupplyMilli = 750;
/** Filling tasks that get less than this much end so late that fewer of them at a time would end earlier. */
const poorSupplyMilli = 600;
/** Demand of started jobs that may wait for a VM, in thousandths of what runs: for a rise, and before the limit falls. A step is over only when its last task is. */
const riseWaitingMilli = 10;
const maxWaitingMilli = 80;
/** Shares of the serving tasks that may miss their target because of filling tasks, in thousandths: for a rise, and before the limit falls. Finding out that two images do not go together costs some. */
const riseImpairedMilli = 20;
const maxImpairedMilli = 40;
/** Part of the running demand that reports must cover, in thousandths; tasks that have just started are not measured yet. */
const minCoveredMilli = 500;

function reasonOf(sums: FillingSupplySums, isHoldingBack: boolean): FillingLimitReason {
	const {runningMilli, demandMilli, waitingMilli, suppliedMilli, servingTasks, impairedServingTasks} = sums;
	if (demandMilli === 0 || 1000 * demandMilli < minCoveredMilli * runningMilli) {
		return 'few-reports';
	}

	const impairedMilli = 1000 * impairedServingTasks / Math.max(1, servingTasks);
	const supplyMilli = 1000 * suppliedMilli / demandMilli;
	const waitingShareMilli = 1000 * waitingMilli / demandMilli;
	if (impairedMilli > maxImpairedMilli) {
		return 'serving-impaired';
	}

	if (supplyMilli < poorSupplyMilli || waitingShareMilli > maxWaitingMilli) {
		return 'short';
	}

	if (supplyMilli < goodSupplyMilli || impairedMilli > riseImpairedMilli || waitingShareMilli > riseWaitingMilli) {
		return 'between';
	}

	return isHoldingBack ? 'supplied' : 'not-needed';
}

const moves: Readonly<Record<FillingLimitReason, (limitMilli: number) => number>> = {
	supplied: limitMilli => limitMilli + riseMilli,
	'not-needed': limitMilli => limitMilli,
	between: limitMilli => limitMilli,
	'few-reports': limitMilli => limitMilli,
	short: fall,
	'serving-impaired': fall,
};

function fall(limitMilli: number): number {
	return Math.floor(minFillingLimitMilli + (fallKeepsShare * (limitMilli - minFillingLimitMilli)));
}

/**
Returns whether a limit may be evaluated again.

@example
isFillingLimitDue(initialFillingLimit, nowMs); // => true
*/
export function isFillingLimitDue({evaluatedAtMs}: FillingLimit, nowMs: number): boolean {
	return nowMs - evaluatedAtMs >= evaluationIntervalMs;
}

/**
Returns the next limit of a service. It handles a load of filling jobs that demand more than the lowest limit while the running ones are well
supplied: it rises in steps while they get nearly all of their demand and the serving tasks keep their targets, and falls quickly when filling tasks
are throttled or short of processors, or serving tasks are impaired. It stays between evaluations, and while no job is held back.

@example
nextFillingLimit(initialFillingLimit, sums, {isHoldingBack: true, maxLimitMilli: 1000, nowMs}); // => {limitMilli: 700, reason: 'supplied', …}
*/
export function nextFillingLimit(limit: FillingLimit, sums: FillingSupplySums, {isHoldingBack, maxLimitMilli, nowMs}: Readonly<{
	/** Whether the limit has kept out a job. */
	isHoldingBack: boolean;
	maxLimitMilli: number;
	nowMs: number;
}>): FillingLimit {
	if (!isFillingLimitDue(limit, nowMs)) {
		return limit;
	}

	const reason = reasonOf(sums, isHoldingBack);
	return {limitMilli: Math.max(minFillingLimitMilli, Math.min(maxLimitMilli, moves[reason](limit.limitMilli))), evaluatedAtMs: nowMs, reason};
}
