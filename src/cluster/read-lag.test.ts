import test from 'ava';
import {noReadLag, recordEntryHeartbeat, type ReadLag} from './read-lag.js';

/** Heartbeats at every tenth offset whose writer had read all but the newest records. */
function lagAfter(unreadRecords: readonly number[]): readonly boolean[] {
	let lag: ReadLag = noReadLag;
	return unreadRecords.map((unread, index) => {
		const offset = 10 * (index + 1);
		lag = recordEntryHeartbeat(lag, {offset, appliedOffset: offset - 1 - unread});
		return lag.isBehind;
	});
}

test('an entry that reads its own heartbeats back late, but steadily, is not behind', t => {
	t.false(lagAfter(Array.from({length: 100}, () => 60)).includes(true));
});

test('an entry that is behind does not change with each heartbeat while it catches up', t => {
	t.deepEqual(
		lagAfter([0, 10, 20, 30, 40, 50, 60, 70, 70, 50, 70, 40, 30, 20, 40, 60]),
		[false, false, false, false, false, false, false, true, true, true, true, true, true, false, false, false],
	);
});

test('a heartbeat of an entry that reads nothing for long keeps a bounded list', t => {
	let lag = noReadLag;
	for (let offset = 0; offset < 1000; offset++) {
		lag = recordEntryHeartbeat(lag, {offset, appliedOffset: -1});
	}

	t.true(lag.isBehind);
	t.true(lag.unreadOffsets.length < 10);
});
