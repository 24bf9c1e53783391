import {type PriorityClass, type RequestLimits} from '../cluster/intent.js';

const classOrder: readonly PriorityClass[] = ['urgent', 'normal', 'background'];

/**
Returns the classes in their order for one placement pass. The most urgent class goes first, except that each other class goes first in as
many of 1000 passes as its floor (guaranteed minimum share) says, so that it gets that share of the released resources during an overload.

@example
priorityClassesForPass(20, {urgent: 200, normal: 100, background: 50}); // => ['background', 'urgent', 'normal']
*/
export function priorityClassesForPass(seed: number, floorMilliByClass: RequestLimits['floorMilliByClass']): readonly PriorityClass[] {
	let remainder = seed % 1000;
	for (const priority of ['background', 'normal'] as const) {
		if (remainder < floorMilliByClass[priority]) {
			return [priority, ...classOrder.filter(other => other !== priority)];
		}

		remainder -= floorMilliByClass[priority];
	}

	return classOrder;
}
