import test from 'ava';
import {costByPart} from './cost-by-part.js';

const node = (id: number, functionName: string, url: string, children: readonly number[] = []) => ({id, callFrame: {functionName, url}, children: [...children]});

test('the time of a function counts for the part whose function called it, and idle time for none', t => {
	const costs = costByPart({
		nodes: [
			node(1, '(root)', '', [2, 3, 5, 7]),
			node(2, '(idle)', ''),
			node(3, 'placeQueuedTasks', 'file:///program.cjs', [4]),
			node(4, 'toString', ''),
			node(5, 'onData', 'node:internal/http2/core', [6]),
			node(6, 'applyRecords', 'file:///program.cjs'),
			node(7, 'listOnTimeout', 'node:internal/timers'),
		],
		samples: [2, 3, 4, 5, 6, 7],
		timeDeltas: [9000, 1000, 2000, 4000, 8000, 500],
	});
	t.deepEqual(costs, {
		total: 15.5, applyRecords: 8, streams: 4, placement: 3, timers: 0.5,
	});
});
