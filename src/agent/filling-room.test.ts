import test from 'ava';
import {nextFillingRoomMilli} from './filling-room.js';

test('the room for filling work grows from any shortage while there is none', t => {
	let roomMilli = nextFillingRoomMilli(undefined, {used: 0.01, wanted: 1});
	for (let measure = 0; measure < 400; measure++) {
		roomMilli = nextFillingRoomMilli(roomMilli, {used: 0, wanted: 0});
	}

	t.true(roomMilli! > 2000);
});
