import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {fillingWorkFields} from './filling-work-fields.js';
import {initialFillingThrottle, type FillingThrottle} from './filling-throttle.js';
import {mergeLatencyImpacts} from './latency-impact-estimates.js';

const sampleOf = (image: string, processors: number) => ({
	image, processors, demandCores: 2 * processors, coversWholeWindow: true,
});

const throttle: FillingThrottle = {
	...initialFillingThrottle,
	shareByImage: immutableMap([['stress', 250]]),
	fillingRoomMilli: 4000,
	latencyImpacts: {
		...mergeLatencyImpacts(initialFillingThrottle.latencyImpacts, [
			{
				servingImage: 'lookup', fillingImage: 'stress', press: 0.6, variance: 0,
			},
			{
				servingImage: 'lookup', fillingImage: 'render', press: 0, variance: 0,
			},
		]),
		previousFillingUse: new Map([['render', 1], ['stress', 2]]),
	},
};

test('a log line names the serving image with the lowest target ratio and the filling image with the highest latency impact on it', t => {
	const fields = fillingWorkFields(throttle, {
		serving: [{taskId: 't1', image: 'stock', targetRatio: 2}, {taskId: 't2', image: 'lookup', targetRatio: 0.8}],
		filling: [sampleOf('render', 1), sampleOf('stress', 2), sampleOf('stress', 1)],
	});
	t.like(fields, {
		shares: 'stress:250', usedMilli: 4000, wantedMilli: 8000, roomMilli: 4000, worstTaskId: 't2', worstImage: 'lookup', leastSlack: 0.8,
	});
	t.regex(String(fields.losses), /^stress:1\.\d+/v);
});

test('a log line of a VM with many filling images stays short, and one of a VM without serving tasks names none', t => {
	const filling = Array.from({length: 50}, (_, index) => sampleOf(`image-${index}`, 2));
	const crowded = {...throttle, latencyImpacts: {...throttle.latencyImpacts, previousFillingUse: new Map(filling.map(({image}) => [image, 2]))}};
	const fields = fillingWorkFields(crowded, {serving: [{taskId: 't1', image: 'lookup', targetRatio: 0.5}], filling});
	t.is(String(fields.losses).split(',').length, 4);
	const alone = fillingWorkFields(crowded, {serving: [], filling});
	t.is(alone.worstImage, undefined);
	t.is(alone.leastSlack, undefined);
});
