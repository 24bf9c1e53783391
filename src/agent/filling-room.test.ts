import test from 'ava';
import {nextFillingRoomMilli} from './filling-room.js';

test('a VM without processors for filling work is not reported as one that was never short of them', t => {
	t.true(nextFillingRoomMilli(undefined, {usedCores: 0.0001, demandCores: 3})! > 0);
});

test('tasks that use two thirds of what they declare are not treated as short of processors', t => {
	t.is(nextFillingRoomMilli(undefined, {usedCores: 1.2, demandCores: 1.8}), undefined);
});

test('the estimate of available processors recovers from any shortage once the shortage is over', t => {
	let roomMilli = nextFillingRoomMilli(undefined, {usedCores: 0.01, demandCores: 1});
	for (let measurement = 0; measurement < 400; measurement++) {
		roomMilli = nextFillingRoomMilli(roomMilli, {usedCores: 0, demandCores: 0});
	}

	t.true(roomMilli! > 2000);
});
