import test from 'ava';
import {nextFillingRoomMilli} from './filling-room.js';

test('a VM that gives filling work nothing is not reported as one that was never short of processors', t => {
	t.true(nextFillingRoomMilli(undefined, {used: 0.0001, wanted: 3})! > 0);
});

test('tasks that use two thirds of what they declare are not taken for short of processors', t => {
	t.is(nextFillingRoomMilli(undefined, {used: 1.2, wanted: 1.8}), undefined);
});

test('the room grows again when filling work is no longer short', t => {
	let roomMilli = nextFillingRoomMilli(undefined, {used: 1, wanted: 5});
	for (let step = 0; step < 40; step++) {
		roomMilli = nextFillingRoomMilli(roomMilli, {used: 1, wanted: 1});
	}

	t.true(roomMilli! > 2000);
});
