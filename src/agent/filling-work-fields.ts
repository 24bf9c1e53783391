import type {EventFields} from '../telemetry/event-log.js';
import type {FillingThrottle, FillingMeasurement} from './filling-throttle.js';
import {baselineTargetRatioOf, latencyImpactOf} from './latency-impact-estimates.js';

/** Images that are named with what they take; the others take less. */
const namedImages = 4;

/** Losses of slack below this are left out. */
const leastNamedLoss = 0.01;

/**
Tells for `filling-work-paced` what a VM gives to filling work and why, when `pace` has learned from the measure: the share of each image,
the processors that filling tasks used and may use, the serving task with the least slack, and what each image is estimated to take from it.

@example
fillingWorkFields(pace, measure); // => {shares: 'stress:400', usedMilli: 1200, worstImage: 'lookup', leastSlack: 0.9, losses: 'stress:0.72', …}
*/
export function fillingWorkFields(pace: FillingThrottle, {serving, filling}: FillingMeasurement): EventFields {
	let used = 0;
	let wanted = 0;
	for (const sample of filling) {
		used += sample.processors;
		wanted += sample.wanted;
	}

	const fields: EventFields = {
		shares: [...pace.shareByImage].map(([image, shareMilli]) => `${image}:${shareMilli}`).join(','),
		usedMilli: inThousandths(used),
		wantedMilli: inThousandths(wanted),
		roomMilli: pace.fillingRoomMilli,
	};
	const worst = serving.toSorted((left, right) => left.targetRatio - right.targetRatio)[0];
	if (worst === undefined) {
		return fields;
	}

	const losses = [...pace.press.fillingBefore]
		.map(([image, use]) => ({image, loss: use * latencyImpactOf(pace.press, worst.image, image).mean}))
		.filter(({loss}) => loss >= leastNamedLoss)
		.toSorted((left, right) => right.loss - left.loss)
		.slice(0, namedImages);
	return {
		...fields,
		worstTaskId: worst.taskId,
		worstImage: worst.image,
		leastSlack: rounded(worst.targetRatio),
		ownSlack: rounded(baselineTargetRatioOf(pace.press, worst.taskId)),
		losses: losses.map(({image, loss}) => `${image}:${rounded(loss)}`).join(','),
	};
}

function inThousandths(processors: number): number {
	return Math.round(1000 * processors);
}

function rounded(slack: number): number {
	return Math.round(100 * slack) / 100;
}
