import type {EventFields} from '../telemetry/event-log.js';
import type {FillingThrottle, FillingMeasurement} from './filling-throttle.js';
import {baselineTargetRatioOf, latencyImpactOf} from './latency-impact-estimates.js';

/** Number of images that are listed with their latency impact; the others have less. */
const maxNamedImages = 4;

/** Latency impacts below this are not listed. */
const minNamedImpact = 0.01;

/**
Returns the fields of the log event `filling-work-paced`, after `throttle` was updated from the measurement: the share of each image, the use
and demand of filling tasks, the serving task with the lowest target ratio, and the estimated latency impact of each image on it.

@example
fillingWorkFields(throttle, measurement); // => {shares: 'stress:400', usedMilli: 1200, worstImage: 'lookup', leastSlack: 0.9, losses: 'stress:0.72', …}
*/
export function fillingWorkFields(throttle: FillingThrottle, {serving, filling}: FillingMeasurement): EventFields {
	let usedCores = 0;
	let demandCores = 0;
	for (const sample of filling) {
		usedCores += sample.processors;
		demandCores += sample.demandCores;
	}

	const fields: EventFields = {
		shares: [...throttle.shareByImage].map(([image, shareMilli]) => `${image}:${shareMilli}`).join(','),
		usedMilli: toMilli(usedCores),
		wantedMilli: toMilli(demandCores),
		roomMilli: throttle.fillingRoomMilli,
	};
	const worst = serving.toSorted((left, right) => left.targetRatio - right.targetRatio)[0];
	if (worst === undefined) {
		return fields;
	}

	const impacts = [...throttle.latencyImpacts.previousFillingUse]
		.map(([image, use]) => ({image, impact: use * latencyImpactOf(throttle.latencyImpacts, worst.image, image).mean}))
		.filter(({impact}) => impact >= minNamedImpact)
		.toSorted((left, right) => right.impact - left.impact)
		.slice(0, maxNamedImages);
	return {
		...fields,
		worstTaskId: worst.taskId,
		worstImage: worst.image,
		leastSlack: rounded(worst.targetRatio),
		ownSlack: rounded(baselineTargetRatioOf(throttle.latencyImpacts, worst.taskId)),
		losses: impacts.map(({image, impact}) => `${image}:${rounded(impact)}`).join(','),
	};
}

function toMilli(processors: number): number {
	return Math.round(1000 * processors);
}

function rounded(value: number): number {
	return Math.round(100 * value) / 100;
}
