import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';

/** A serving task with the newest measure of the tail of its response times, as a share of its target. */
export type ServingSample = Readonly<{taskId: string; image: string; tailShare: number}>;

/** Processors that the filling tasks of each image used in the window of the measure. */
export type FillingUse = ReadonlyMap<string, number>;

/**
What filling work does to serving tasks, learned from measures on one VM. The tail of a serving task is modelled as its own
part plus a press for each processor that a neighbour's image uses; pairs of images differ by more than a factor of 50.
*/
export type PressEstimates = Readonly<{
	/** Share of its target that the tail of a serving task has without neighbours, by task. */
	ownShares: ImmutableMap<string, number>;
	/** Share of the target that one processor of a filling image adds to the tail of a serving image. */
	pressByPair: ImmutableMap<string, number>;
}>;

export const noPressEstimates: PressEstimates = {ownShares: immutableMap(), pressByPair: immutableMap()};

/** Part of an unexplained tail that one sample corrects; larger values follow noise. */
const learningRate = 0.8;

/** Processors that a task's own part counts as when an unexplained tail is divided among the causes. */
const ownPartProcessors = 1.5;

/** Expected press of a pair that was never measured, per processor: a few neighbours of unknown image do little. */
const unknownPress = 0.02;

/** Own part of a serving task before its first sample: the targets leave room for two to three times the quiet tail. */
const unknownOwnShare = 0.4;

/** Bounds of a task's own part: a task that is beyond its target alone is not an estimate to build on. */
const leastOwnShare = 0.1;
const largestOwnShare = 0.9;

/** Tails beyond this multiple of the target say no more than one at it. */
const largestTailShare = 12;

/** Pairs kept on one VM; images come and go with jobs. */
const maxPairs = 2000;

/**
Tells how much one processor of a filling image is expected to add to the tail of a serving image, as a share of its target.

@example
pressOf(estimates, 'order-lookup', 'stress-run'); // => 0.75
*/
export function pressOf({pressByPair}: PressEstimates, servingImage: string, fillingImage: string): number {
	return pressByPair.get(pairKey(servingImage, fillingImage)) ?? unknownPress;
}

/**
Learns from one measure of the VM: the part of each tail that the estimates do not explain is divided among the task itself and
its neighbours in proportion to the processors that they used.

@example
const next = learnPress(estimates, [{taskId: 't1', image: 'order-lookup', tailShare: 2.4}], new Map([['stress-run', 3.4]]));
*/
export function learnPress(estimates: PressEstimates, serving: readonly ServingSample[], filling: FillingUse): PressEstimates {
	let squares = ownPartProcessors ** 2;
	for (const processors of filling.values()) {
		squares += processors ** 2;
	}

	const known = estimates.pressByPair.size > maxPairs ? immutableMap<string, number>() : estimates.pressByPair;
	const ownShares = new Map<string, number>();
	const pressByPair = known.withMutations(pairs => {
		for (const {taskId, image, tailShare} of serving) {
			const ownShare = estimates.ownShares.get(taskId) ?? unknownOwnShare;
			let expected = ownShare;
			for (const [fillingImage, processors] of filling) {
				expected += processors * (pairs.get(pairKey(image, fillingImage)) ?? unknownPress);
			}

			const correction = learningRate * (Math.min(largestTailShare, tailShare) - expected) / squares;
			const corrected = ownShare + (correction * (ownPartProcessors ** 2));
			ownShares.set(taskId, Math.min(largestOwnShare, Math.max(leastOwnShare, corrected)));
			for (const [fillingImage, processors] of filling) {
				const key = pairKey(image, fillingImage);
				pairs.set(key, Math.max(0, (pairs.get(key) ?? unknownPress) + (correction * processors)));
			}
		}
	});
	return {ownShares: immutableMap(ownShares), pressByPair};
}

/** An estimate as agents report it to entries. */
export type PressReport = Readonly<{servingImage: string; fillingImage: string; press: number}>;

/** Step to which reported estimates are rounded, so that noise is not sent with every heartbeat. */
const reportedStep = 0.05;

/**
Lists the estimates that differ from those reported before by a step or more, and what is reported with them.

@example
const {reports, reported} = changedPress(estimates, immutableMap());
*/
export function changedPress(
	{pressByPair}: PressEstimates,
	before: ImmutableMap<string, number>,
): Readonly<{reports: readonly PressReport[]; reported: ImmutableMap<string, number>}> {
	const reports: PressReport[] = [];
	const reported = before.withMutations(sent => {
		for (const [key, press] of pressByPair) {
			const rounded = Math.round(press / reportedStep) * reportedStep;
			if (sent.get(key) !== rounded) {
				sent.set(key, rounded);
				const [servingImage = '', fillingImage = ''] = key.split(pairSeparator);
				reports.push({servingImage, fillingImage, press: rounded});
			}
		}
	});
	return {reports, reported};
}

/** Weight of a VM's report against what other VMs reported of the same pair. */
const reportWeight = 0.5;

/**
Takes the reports of one VM into the estimates of an entry, which hold for all VMs.

@example
const next = mergePress(noPressEstimates, [{servingImage: 'order-lookup', fillingImage: 'stress-run', press: 0.75}]);
*/
export function mergePress(estimates: PressEstimates, reports: readonly PressReport[]): PressEstimates {
	if (reports.length === 0) {
		return estimates;
	}

	const known = estimates.pressByPair.size > maxPairs ? immutableMap<string, number>() : estimates.pressByPair;
	return {
		...estimates,
		pressByPair: known.withMutations(pairs => {
			for (const {servingImage, fillingImage, press} of reports) {
				const key = pairKey(servingImage, fillingImage);
				const before = pairs.get(key) ?? press;
				pairs.set(key, before + (reportWeight * (press - before)));
			}
		}),
	};
}

/** Cannot be part of an image's name on the wire of any user; a name that holds it only shares its estimates with another one. */
const pairSeparator = '\n';

function pairKey(servingImage: string, fillingImage: string): string {
	return `${servingImage}${pairSeparator}${fillingImage}`;
}
