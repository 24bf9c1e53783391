import test from 'ava';
import fc from 'fast-check';
import {createAnnouncementAges} from './announcement-ages.js';
import {
	evaluateRole, initialRoleState, type AnnouncedEntry, type RoleState,
} from './entry-role.js';

const deciderCount = 4;
const stepMs = 200;
const readMs = 400;
const announceMs = 4000;
const lifetimeMs = 12_000;

type SimulatedEntry = {
	readonly entryId: string;
	readonly failureDomain: string;
	readonly processorsMilli: number;
	state: RoleState;
	ages: ReturnType<typeof createAnnouncementAges>;
	isUp: boolean;
	nextReadMs: number;
	nextAnnounceMs: number;
};

/** Entries that announce themselves in one store; time goes on in steps. */
function simulate(count: number) {
	let nowMs = 0;
	let nextOffset = 0;
	const store = new Map<string, Omit<AnnouncedEntry, 'age'>>();
	const newAges = (): SimulatedEntry['ages'] => createAnnouncementAges({lifetimeMs, steadyMs: () => nowMs});
	const entries = Array.from({length: count}, (_, index): SimulatedEntry => ({
		entryId: `e${index}`, failureDomain: `d${index % 6}`, processorsMilli: index % 2 === 0 ? 1350 : 324, state: initialRoleState, ages: newAges(), isUp: true, nextReadMs: 50 * (index % 7), nextAnnounceMs: 0,
	}));

	function stepEntry(entry: SimulatedEntry, isStoreUp: boolean): void {
		if (!entry.isUp || !isStoreUp || nowMs < entry.nextReadMs) {
			return;
		}

		entry.nextReadMs = nowMs + readMs;
		const ageById = entry.ages.evaluate([...store.values()].map(({entryId, offset}) => ({key: entryId, offset})));
		const before = entry.state.role;
		entry.state = evaluateRole(entry.state, {
			entryId: entry.entryId,
			deciderCount,
			announced: [...store.values()].map(announced => ({...announced, age: ageById.get(announced.entryId)!})),
			unavailableIds: new Set(entries.filter(({isUp, state}) => !isUp || state.role === 'front').map(({entryId}) => entryId)),
			announcedAtMs: entry.nextAnnounceMs - announceMs,
			nowMs,
		});
		if (nowMs >= entry.nextAnnounceMs || entry.state.role !== before) {
			const {entryId, failureDomain, processorsMilli, state: {role}} = entry;
			entry.nextAnnounceMs = nowMs + announceMs;
			store.set(entryId, {
				entryId, failureDomain, processorsMilli, role, relayAddress: '10.1.0.1:7722', offset: nextOffset++,
			});
		}
	}

	return {
		entries,
		run(lengthMs: number, isStoreUp = true) {
			for (const endMs = nowMs + lengthMs; nowMs < endMs; nowMs += stepMs) {
				for (const entry of entries) {
					stepEntry(entry, isStoreUp);
				}
			}
		},
		kill(entry: SimulatedEntry) {
			entry.isUp = false;
		},
		start(entry: SimulatedEntry) {
			Object.assign(entry, {
				isUp: true, state: initialRoleState, ages: newAges(), nextReadMs: nowMs, nextAnnounceMs: 0,
			});
		},
		deciders: () => entries.filter(({isUp, state}) => isUp && state.role === 'decider'),
	};
}

test('entries that start together choose four large ones within two seconds', t => {
	const site = simulate(35);
	site.run(2000);
	t.is(site.deciders().length, deciderCount);
	t.true(site.deciders().every(({processorsMilli}) => processorsMilli === 1350));
	site.run(30_000);
	t.is(site.deciders().length, deciderCount);
});

test('on a small site all entries decide', t => {
	const site = simulate(3);
	site.run(3000);
	t.is(site.deciders().length, 3);
});

test('a decider that is lost for good is replaced, and one that restarts in time is not', t => {
	const site = simulate(35);
	site.run(5000);
	const [lost, restarted] = site.deciders();
	site.kill(lost!);
	site.kill(restarted!);
	site.run(3000);
	site.start(restarted!);
	site.run(1000);
	t.is(restarted!.state.role, 'decider');
	site.run(16_000);
	t.is(site.deciders().length, deciderCount);
});

test('a decider that comes back after it was replaced relays to the others', t => {
	const site = simulate(35);
	site.run(5000);
	const [lost] = site.deciders();
	site.kill(lost!);
	site.run(20_000);
	site.start(lost!);
	site.run(20_000);
	t.is(lost!.state.role, 'front');
	t.is(site.deciders().length, deciderCount);
});

test('after a loss of all power the same entries decide as soon as they run, without a pause for the others', t => {
	const site = simulate(35);
	site.run(5000);
	const before = site.deciders();
	for (const entry of site.entries) {
		site.kill(entry);
	}

	site.run(9000);
	for (const entry of site.entries) {
		site.start(entry);
	}

	site.run(stepMs);
	t.deepEqual(site.deciders(), before);
});

test('when all deciders are lost for good, others decide before the announcements expire', t => {
	const site = simulate(35);
	site.run(5000);
	for (const decider of site.deciders()) {
		site.kill(decider);
	}

	site.run(2000);
	t.true(site.deciders().length >= deciderCount);
});

test('an outage of the store makes no further entry a decider', t => {
	const site = simulate(35);
	site.run(5000);
	site.run(30_000, false);
	site.run(30_000);
	t.is(site.deciders().length, deciderCount);
});

test('whatever is killed and restarted in whatever order, enough entries decide soon after', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(11), fc.boolean(), fc.nat(6000)), {maxLength: 25}), steps => {
			const site = simulate(12);
			site.run(4000);
			for (const [index, isStart, pauseMs] of steps) {
				const entry = site.entries[index]!;
				if (isStart && !entry.isUp) {
					site.start(entry);
				} else if (!isStart) {
					site.kill(entry);
				}

				site.run(pauseMs);
			}

			site.run(20_000);
			const up = site.entries.filter(({isUp}) => isUp).length;
			return site.deciders().length >= Math.min(up, deciderCount);
		}), {numRuns: 60});
	});
});
