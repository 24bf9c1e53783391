import {type FillingSupply} from './filling-room.js';
import {type ServingSample} from './latency-impact-estimates.js';

/** What the filling tasks of a VM get of their demand, and the serving tasks that miss their target because of them. */
export type FillingSupplyReport = Readonly<{
	/** Demand of the running filling tasks, and what their processor shares allow them. */
	demandMilli: number;
	allowedMilli: number;
	/** Part that they used of what they were allowed, in thousandths; 1000 while no task has run for a whole measurement window. */
	usedShareMilli: number;
	servingTasks: number;
	impairedServingTasks: number;
}>;

/**
Returns the report on the supply of a VM's filling tasks, or undefined without such tasks. A serving task counts as impaired when it misses its target
and would meet it without neighbours, as far as its baseline shows; a task that misses its target by its own load does not.

@example
fillingSupplyReportOf({supply, serving, demandCoresByImage, shareMilliOf: () => 1000, baselineTargetRatioOf: () => 2})?.impairedServingTasks; // => 0
*/
export function fillingSupplyReportOf({supply, serving, demandCoresByImage, shareMilliOf, baselineTargetRatioOf}: Readonly<{
	/** Use and demand, at their processor shares, of the tasks that were measured. */
	supply: FillingSupply;
	serving: readonly ServingSample[];
	demandCoresByImage: ReadonlyMap<string, number>;
	shareMilliOf: (image: string) => number;
	baselineTargetRatioOf: (taskId: string) => number;
}>): FillingSupplyReport | undefined {
	if (demandCoresByImage.size === 0) {
		return undefined;
	}

	let demandMilli = 0;
	let allowedMilli = 0;
	for (const [image, demandCores] of demandCoresByImage) {
		demandMilli += 1000 * demandCores;
		allowedMilli += demandCores * shareMilliOf(image);
	}

	return {
		demandMilli: Math.round(demandMilli),
		allowedMilli: Math.round(allowedMilli),
		usedShareMilli: supply.demandCores === 0 ? 1000 : Math.round(1000 * Math.min(1, supply.usedCores / supply.demandCores)),
		servingTasks: serving.length,
		impairedServingTasks: serving.filter(({taskId, targetRatio}) => targetRatio < 1 && baselineTargetRatioOf(taskId) >= 1).length,
	};
}
