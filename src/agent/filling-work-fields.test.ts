import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {fillingWorkFields} from './filling-work-fields.js';
import {initialFillingThrottle, type FillingThrottle} from './filling-throttle.js';
import {mergeLatencyImpacts} from './latency-impact-estimates.js';

const sampleOf = (image: string, processors: number) => ({
	image, processors, wanted: 2 * processors, isSettled: true,
});

const pace: FillingThrottle = {
	...initialFillingThrottle,
	shareByImage: immutableMap([['stress', 250]]),
	fillingRoomMilli: 4000,
	press: {
		...mergeLatencyImpacts(initialFillingThrottle.press, [
			{
				servingImage: 'lookup', fillingImage: 'stress', press: 0.6, variance: 0,
			},
			{
				servingImage: 'lookup', fillingImage: 'render', press: 0, variance: 0,
			},
		]),
		fillingBefore: new Map([['render', 1], ['stress', 2]]),
	},
};

test('a line names the serving image with the least slack and the filling image that takes most of it', t => {
	const fields = fillingWorkFields(pace, {
		serving: [{taskId: 't1', image: 'stock', targetRatio: 2}, {taskId: 't2', image: 'lookup', targetRatio: 0.8}],
		filling: [sampleOf('render', 1), sampleOf('stress', 2), sampleOf('stress', 1)],
	});
	t.like(fields, {
		shares: 'stress:250', usedMilli: 4000, wantedMilli: 8000, roomMilli: 4000, worstTaskId: 't2', worstImage: 'lookup', leastSlack: 0.8,
	});
	t.regex(String(fields.losses), /^stress:1\.\d+/v);
});

test('a line of a VM with many filling images stays short, and one without serving tasks names none', t => {
	const filling = Array.from({length: 50}, (_, index) => sampleOf(`image-${index}`, 2));
	const crowded = {...pace, press: {...pace.press, fillingBefore: new Map(filling.map(({image}) => [image, 2]))}};
	const fields = fillingWorkFields(crowded, {serving: [{taskId: 't1', image: 'lookup', targetRatio: 0.5}], filling});
	t.is(String(fields.losses).split(',').length, 4);
	const alone = fillingWorkFields(crowded, {serving: [], filling});
	t.is(alone.worstImage, undefined);
	t.is(alone.leastSlack, undefined);
});
