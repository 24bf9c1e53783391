import test from 'ava';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type EntryEvent} from './entry-event.js';
import {initialEntryState} from './entry-state.js';
import {reduceEntry} from './reduce-entry.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
	timings: {snapshotEveryMs: 4000, minSnapshotIntervalMs: 4000},
});

/** Guards against a state that is lost with the processes because no snapshot followed an outage of the snapshots' stream before the newest one expired. */
test('a snapshot is written within a second and a tick after the store takes snapshots again', t => {
	let state = initialEntryState('i1');
	let nowMs = 0;
	let offset = 0;
	const writtenAtMs: number[] = [];
	let failedTries = 0;
	const fromMs = 10_300;
	const untilMs = fromMs + 6100;
	const send = (event: EntryEvent): void => {
		const reduced = reduceEntry(state, event, {
			nowMs, wallTimeMs: nowMs, seed: 1, pendingAppends: 0,
		}, settings);
		state = reduced.state;
		if (reduced.effects.some(({kind}) => kind === 'write-snapshot')) {
			const isDown = nowMs >= fromMs && nowMs < untilMs;
			failedTries += isDown ? 1 : 0;
			writtenAtMs.push(...isDown ? [] : [nowMs]);
			send({kind: 'snapshot-written', coversOffset: isDown ? -1 : state.cluster.offset});
		}
	};

	for (; nowMs < 25_000; nowMs += 250) {
		const record = offset === 0
			? {
				kind: 'entry-registered' as const, entryId: 'e1', failureDomain: 'a', operatorAddress: '127.0.0.1:2',
			}
			: {kind: 'entry-alive' as const, appliedOffset: offset};
		send({
			kind: 'log-page', readSentAtMs: nowMs, reachedTail: true, records: [{
				offset, envelope: {
					writer: 'e1', incarnation: 'i1', sequence: offset + 1, record,
				},
			}],
		});
		offset++;
		send({kind: 'tick'});
	}

	t.true(failedTries > 3 && failedTries < 12, `${failedTries} tries`);
	const afterMs = writtenAtMs.find(atMs => atMs >= untilMs)! - untilMs;
	t.true(afterMs <= 1250, `written ${afterMs} ms after the outage`);
	const gaps = writtenAtMs.slice(1).map((atMs, index) => atMs - writtenAtMs[index]!);
	t.is(gaps.filter(gapMs => gapMs < 4000).length, 0);
});
