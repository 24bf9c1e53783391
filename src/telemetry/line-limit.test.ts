import test from 'ava';
import {createLineLimit} from './line-limit.js';

test('a fault that touches every request writes no more lines than the limit, and the next line counts the others', t => {
	const limit = createLineLimit({linesPerSecond: 2});
	const allowed = Array.from({length: 100}, (_, index) => limit(index).isAllowed).filter(Boolean);
	t.is(allowed.length, 2);
	t.deepEqual(limit(1000), {isAllowed: true, omitted: 98});
	t.deepEqual(limit(1001), {isAllowed: true, omitted: 0});
});
