import test from 'ava';
import type {EntrySessionHandlers} from './entry-session.js';
import {createEntrySessions} from './entry-sessions.js';

/** Returns sessions whose streams are open while their entry is in `reachable`, and that receive lease grants while it is in `granting`. */
function startSessions(addresses: readonly string[], count: number) {
	let nowMs = 0;
	const open = new Map<string, Pick<EntrySessionHandlers, 'connected' | 'disconnected'>>();
	const reachable = new Set(addresses);
	const granting = new Set(addresses);
	const connected = new Set<string>();
	const nothing = (): void => undefined;
	const lines: string[] = [];
	const record = (event: string): void => {
		lines.push(event);
	};

	const sessions = createEntrySessions({
		count,
		nowMs: () => nowMs,
		onChange: nothing,
		eventLog: {
			debug: nothing, info: record, warn: record, error: record,
		},
		open(entryAddress, handlers) {
			open.set(entryAddress, handlers);
			return {
				send: nothing,
				async close() {
					open.delete(entryAddress);
					connected.delete(entryAddress);
				},
			};
		},
	});
	/** Seconds for which an entry has been frozen: its kernel accepts streams, which the agent aborts after 5 s without an answer. */
	const frozen = new Map<string, number>();
	sessions.rank(addresses);
	return {
		rank: sessions.rank,
		reachable,
		granting,
		lines,
		freeze(address: string): void {
			granting.delete(address);
			frozen.set(address, 0);
		},
		/** Advances the clock by seconds, each with a heartbeat to every entry; returns the addresses with a session. */
		pass(seconds: number): readonly string[] {
			for (let second = 0; second < seconds; second++) {
				nowMs += 1000;
				for (const [address, handlers] of open) {
					const frozenSeconds = frozen.get(address);
					if (frozenSeconds !== undefined) {
						frozen.set(address, frozenSeconds + 1);
						const isAborted = frozenSeconds % 7 === 5;
						if (isAborted) {
							handlers.disconnected('the entry does not answer heartbeats');
						} else if (frozenSeconds % 7 === 0 && frozenSeconds > 0) {
							handlers.connected();
						}

						continue;
					}

					if (reachable.has(address) && !connected.has(address)) {
						connected.add(address);
						handlers.connected();
					} else if (!reachable.has(address) && connected.has(address)) {
						connected.delete(address);
						handlers.disconnected('lost');
					}

					if (connected.has(address) && granting.has(address)) {
						sessions.recordGrant(address);
					}
				}

				sessions.review(true);
			}

			return [...open.keys()].toSorted();
		},
	};
}

const addressOf = (number: number): string => `10.0.0.${number}:7100`;
const first = addressOf(1);
const second = addressOf(2);
const third = addressOf(3);
const fourth = addressOf(4);
const fifth = addressOf(5);
const sixth = addressOf(6);
const all = [first, second, third, fourth, fifth, sixth, addressOf(7), addressOf(8)];

test('an agent whose entries all lose power gets leases from others, and returns to the best ones', t => {
	const {reachable, pass} = startSessions(all, 3);
	t.deepEqual(pass(3), [first, second, third]);
	for (const address of [first, second, third]) {
		reachable.delete(address);
	}

	t.deepEqual(pass(4), [first, second, third, fourth, fifth, sixth]);
	reachable.add(second);
	t.deepEqual(pass(5), [first, second, third, fourth, fifth]);
	reachable.add(first);
	reachable.add(third);
	t.deepEqual(pass(5), [first, second, third]);
});

test('an agent whose entries all fail to reach the log gets its lease from another entry', t => {
	const {granting, pass} = startSessions(all, 3);
	pass(3);
	for (const address of [first, second, third]) {
		granting.delete(address);
	}

	t.deepEqual(pass(6), [first, second, third, fourth, fifth]);
	granting.add(first);
	granting.add(second);
	granting.add(third);
	t.deepEqual(pass(6), [first, second, third]);
});

test('an outage of the log for all entries does not open streams to every entry', t => {
	const {granting, pass} = startSessions(all, 3);
	pass(3);
	granting.clear();
	t.is(pass(20).length, 6);
	for (let seconds = 0; seconds < 60; seconds++) {
		t.true(pass(1).length <= 6);
	}
});

test('the entry that replaces a frozen one stays selected while the frozen one accepts new streams', t => {
	const {freeze, pass} = startSessions(all, 3);
	pass(3);
	freeze(first);
	pass(4);
	for (let passed = 0; passed < 30; passed++) {
		t.true(pass(1).includes(fourth), `second ${passed}`);
	}
});

test('an entry whose address cannot be used leaves the stream to the next ones', t => {
	const {pass} = startSessions(['10.1.0.13:99999', '10.1.0.13:-1', '10.1.0.13', '', 'x'.repeat(200_000), ...all], 3);
	t.deepEqual(pass(3), [first, second, third]);
});

test('an agent that no entry grants a lease to says so, and when it is over', t => {
	const {granting, lines, pass} = startSessions(all, 3);
	pass(10);
	t.deepEqual(lines.filter(event => event.startsWith('entries-')), []);
	granting.clear();
	pass(14);
	granting.add(second);
	pass(1);
	t.deepEqual(lines.filter(event => event.startsWith('entries-')), ['entries-unusable', 'entries-usable']);
});

test('an agent whose known entries are all gone gets its streams within two seconds after the list names others, wherever it names them', t => {
	const known = [first, second, third, fourth];
	const others = [fifth, sixth, addressOf(7), addressOf(8)];
	for (const ranked of [[...others, ...known], [...known, ...others]]) {
		const {reachable, rank, pass} = startSessions(known, 3);
		pass(3);
		for (const address of known) {
			reachable.delete(address);
		}

		pass(15);
		for (const address of others) {
			reachable.add(address);
		}

		rank(ranked);
		pass(2);
		t.true(pass(1).filter(address => others.includes(address)).length >= 3);
	}
});

test('an agent is not left without a lease because the entries that it prefers, twice as many as it wants, do not reach the log', t => {
	const {granting, pass} = startSessions(all, 3);
	pass(3);
	const last = all.at(-1)!;
	for (const address of all) {
		granting.delete(address);
	}

	granting.add(last);
	pass(30);
	for (let seconds = 0; seconds < 30; seconds++) {
		const selected = pass(1);
		t.true(selected.includes(last), `second ${seconds}`);
		t.true(selected.length <= 6);
	}
});
