import test from 'ava';
import {nextFillingRoomMilli} from './filling-room.js';

test('a VM without processors for filling work is not reported as one that was never short of them', t => {
	t.true(nextFillingRoomMilli(undefined, {used: 0.0001, wanted: 3})! > 0);
});

test('tasks that use two thirds of what they declare are not treated as short of processors', t => {
	t.is(nextFillingRoomMilli(undefined, {used: 1.2, wanted: 1.8}), undefined);
});

test('the estimate of available processors recovers from any shortage once the shortage is over', t => {
	let roomMilli = nextFillingRoomMilli(undefined, {used: 0.01, wanted: 1});
	for (let measurement = 0; measurement < 400; measurement++) {
		roomMilli = nextFillingRoomMilli(roomMilli, {used: 0, wanted: 0});
	}

	t.true(roomMilli! > 2000);
});
