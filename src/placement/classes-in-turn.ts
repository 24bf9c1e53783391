import {type PriorityClass, type RequestLimits} from '../cluster/intent.js';

const classOrder: readonly PriorityClass[] = ['urgent', 'normal', 'background'];

/**
Orders the classes for one pass: the most urgent first, but each other class goes first in its floor's share of the passes,
so that it takes that share of the places that become free during a flood.

@example
priorityClassesForPass(20, {urgent: 200, normal: 100, background: 50}); // => ['background', 'urgent', 'normal']
*/
export function priorityClassesForPass(seed: number, floorMilliByClass: RequestLimits['floorMilliByClass']): readonly PriorityClass[] {
	let turn = seed % 1000;
	for (const priority of ['background', 'normal'] as const) {
		if (turn < floorMilliByClass[priority]) {
			return [priority, ...classOrder.filter(other => other !== priority)];
		}

		turn -= floorMilliByClass[priority];
	}

	return classOrder;
}
