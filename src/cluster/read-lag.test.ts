import test from 'ava';
import {noReadLag, recordEntryHeartbeat, type ReadLag} from './read-lag.js';

/** Returns `isBehind` after each heartbeat of an entry. It writes one at every tenth offset; `unreadRecords` are the numbers of records that it has not read by then. */
function lagAfter(unreadRecords: readonly number[]): readonly boolean[] {
	let lag: ReadLag = noReadLag;
	return unreadRecords.map((unread, index) => {
		const offset = 10 * (index + 1);
		lag = recordEntryHeartbeat(lag, {offset, appliedOffset: offset - 1 - unread});
		return lag.isBehind;
	});
}

test('an entry that reads its own heartbeats back with a constant delay is not behind', t => {
	t.false(lagAfter(Array.from({length: 100}, () => 60)).includes(true));
});

test('an entry does not alternate between behind and caught up with each heartbeat while it catches up', t => {
	t.deepEqual(
		lagAfter([0, 10, 20, 30, 40, 50, 60, 70, 70, 50, 70, 40, 30, 20, 40, 60]),
		[false, false, false, false, false, false, false, true, true, true, true, true, true, false, false, false],
	);
});

test('the list of unread heartbeats of an entry that reads nothing for a long time is bounded', t => {
	let lag = noReadLag;
	for (let offset = 0; offset < 1000; offset++) {
		lag = recordEntryHeartbeat(lag, {offset, appliedOffset: -1});
	}

	t.true(lag.isBehind);
	t.true(lag.unreadOffsets.length < 10);
});
