import test from 'ava';
import {nextFillingRoomMilli} from './filling-room.js';

test('a VM that gives filling work nothing is not reported as one that was never short of processors', t => {
	t.true(nextFillingRoomMilli(undefined, {used: 0.0001, wanted: 3})! > 0);
});

test('tasks that use two thirds of what they declare are not taken for short of processors', t => {
	t.is(nextFillingRoomMilli(undefined, {used: 1.2, wanted: 1.8}), undefined);
});

test('the room for filling work grows from any shortage while there is none', t => {
	let roomMilli = nextFillingRoomMilli(undefined, {used: 0.01, wanted: 1});
	for (let measure = 0; measure < 400; measure++) {
		roomMilli = nextFillingRoomMilli(roomMilli, {used: 0, wanted: 0});
	}

	t.true(roomMilli! > 2000);
});
