import test from 'ava';
import fc from 'fast-check';
import {createAnnouncementAges} from './announcement-ages.js';
import {
	evaluateRole, initialRoleState, type AnnouncedEntry, type RoleState,
} from './entry-role.js';

const deciderCount = 4;
const stepMs = 100;
const announceMs = 4000;
const lifetimeMs = 12_000;
const readMs = {enough: 2000, short: 400};

/** Time for which a decider must not have read the log to say that it is not ready, and not have served a front to count as unavailable. */
const notReadyMs = 3000;
const unavailableMs = 3000;

/** Time after the last disturbance from which on enough entries decide: announcements expire, the shortage settles, one read. */
const recoveryMs = 20_000;

type Announcement = Omit<AnnouncedEntry, 'age'>;

type Entry = {
	readonly entryId: string;
	readonly failureDomain: string;
	readonly processorsMilli: number;
	life: 'up' | 'frozen' | 'down';
	canRead: boolean;
	canWrite: boolean;
	/** Whether other entries reach its relay address. */
	isReachable: boolean;
	/** Delay after which its next announcement takes effect, reported as failed; undefined for one that succeeds. */
	nextWriteDelayMs: number | undefined;
	/** Whether the next read of others leaves its announcement out. */
	isHidden: boolean;
	state: RoleState;
	ages: ReturnType<typeof createAnnouncementAges>;
	nextReadMs: number;
	announcedAtMs: number;
	readLogAtMs: number;
	/** When each decider last served this entry. */
	servedAtMs: Map<string, number>;
};

/** Entries that announce themselves in one store, each with its own way to the store and to the others. */
function simulate(count: number) {
	let nowMs = 0;
	let nextOffset = 0;
	const store = new Map<string, Announcement>();
	const late: Array<Readonly<{atMs: number; announcement: Omit<Announcement, 'offset'>}>> = [];
	const born = () => ({
		life: 'up' as const,
		state: initialRoleState,
		ages: createAnnouncementAges({lifetimeMs, steadyMs: () => nowMs}),
		nextReadMs: nowMs,
		announcedAtMs: Number.NEGATIVE_INFINITY,
		readLogAtMs: nowMs,
		servedAtMs: new Map<string, number>(),
	});
	const entries = Array.from({length: count}, (_, index): Entry => ({
		entryId: `e${index}`,
		failureDomain: `d${index % 4}`,
		processorsMilli: 1350,
		canRead: true,
		canWrite: true,
		isReachable: true,
		nextWriteDelayMs: undefined,
		isHidden: false,
		...born(),
		nextReadMs: 300 * (index % 7),
	}));

	function write(announcement: Omit<Announcement, 'offset'>): void {
		store.set(announcement.entryId, {...announcement, offset: nextOffset++});
	}

	function writeLate(): void {
		for (const {announcement} of late.filter(({atMs}) => atMs === nowMs)) {
			write(announcement);
		}
	}

	function announce(entry: Entry): void {
		const {entryId, failureDomain, processorsMilli, state: {role}, nextWriteDelayMs} = entry;
		const announcement = {
			entryId, failureDomain, processorsMilli, role, relayAddress: '10.1.0.1:7722',
		};
		if (!entry.canWrite || nextWriteDelayMs !== undefined) {
			if (nextWriteDelayMs !== undefined) {
				late.push({atMs: nowMs + nextWriteDelayMs, announcement});
			}

			entry.nextWriteDelayMs = undefined;
			return;
		}

		entry.announcedAtMs = nowMs;
		write(announcement);
	}

	function serves(decider: Entry): boolean {
		return decider.life === 'up' && decider.isReachable && decider.state.role === 'decider' && nowMs - decider.readLogAtMs <= notReadyMs;
	}

	function review(entry: Entry): void {
		const read = [...store.values()].filter(({entryId}) => entryId === entry.entryId || !entries.find(each => each.entryId === entryId)!.isHidden);
		const ageById = entry.ages.evaluate(read.map(({entryId, offset}) => ({key: entryId, offset})));
		const announced = read.map(announcement => ({...announcement, age: ageById.get(announcement.entryId)!}));
		const deciders = announced.filter(({role, age, entryId}) => role === 'decider' && age !== 'expired' && entryId !== entry.entryId);
		entry.servedAtMs = new Map(deciders.map(({entryId}) => [entryId, entry.servedAtMs.get(entryId) ?? nowMs]));
		const before = entry.state.role;
		entry.state = evaluateRole(entry.state, {
			entryId: entry.entryId,
			deciderCount,
			announced,
			unavailableIds: new Set([...entry.servedAtMs].filter(([, atMs]) => nowMs - atMs > unavailableMs).map(([id]) => id)),
			announcedAtMs: entry.announcedAtMs,
			nowMs,
		});
		if (nowMs - entry.announcedAtMs >= announceMs || entry.state.role !== before) {
			announce(entry);
		}
	}

	function stepEntry(entry: Entry): void {
		if (entry.life !== 'up') {
			return;
		}

		entry.readLogAtMs = entry.canRead ? nowMs : entry.readLogAtMs;
		for (const [id] of entry.servedAtMs) {
			if (serves(entries.find(({entryId}) => entryId === id)!)) {
				entry.servedAtMs.set(id, nowMs);
			}
		}

		if (nowMs >= entry.nextReadMs) {
			if (entry.canRead) {
				review(entry);
			}

			entry.nextReadMs = nowMs + (entry.state.shortSinceMs === undefined && entry.state.hasRead ? readMs.enough : readMs.short);
		}
	}

	return {
		entries,
		run(lengthMs: number) {
			for (const endMs = nowMs + lengthMs; nowMs < endMs; nowMs += stepMs) {
				writeLate();

				for (const entry of entries) {
					stepEntry(entry);
				}
			}
		},
		restart(entry: Entry) {
			Object.assign(entry, born());
		},
		deciders: () => entries.filter(({life, state}) => life === 'up' && state.role === 'decider'),
		/** Deciders that read the log and that fronts reach. */
		serving: () => entries.filter(entry => serves(entry)),
	};
}

type Site = ReturnType<typeof simulate>;

function heal({entries}: Site): void {
	for (const entry of entries) {
		Object.assign(entry, {
			canRead: true, canWrite: true, isReachable: true, nextWriteDelayMs: undefined, isHidden: false, life: entry.life === 'frozen' ? 'up' : entry.life,
		});
	}
}

const idsOf = (entries: readonly Entry[]): readonly string[] => entries.map(({entryId}) => entryId);

/** Disturbances of one entry. */
const disturbances: Readonly<Record<string, (entry: Entry, site: Site) => void>> = {
	kill(entry) {
		entry.life = 'down';
	},
	restart(entry, site) {
		site.restart(entry);
	},
	freeze(entry) {
		entry.life = entry.life === 'up' ? 'frozen' : entry.life;
	},
	'cut from the store'(entry) {
		entry.canRead = false;
		entry.canWrite = false;
	},
	'refuse announcements'(entry) {
		entry.canWrite = false;
	},
	'delay an announcement'(entry) {
		entry.nextWriteDelayMs = 5000;
	},
	'leave out of reads'(entry) {
		entry.isHidden = true;
	},
	'cut from others'(entry) {
		entry.isReachable = false;
	},
	heal(_, site) {
		heal(site);
	},
};

test('whatever is cut off, frozen, lost or delayed, enough entries decide soon after, and none without a cause', t => {
	const action = fc.record({kind: fc.constantFrom(...Object.keys(disturbances)), index: fc.nat(9), pauseMs: fc.nat({max: 150}).map(steps => steps * stepMs)});
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(action, {maxLength: 20}), actions => {
			const site = simulate(10);
			site.run(4000);
			for (const {kind, index, pauseMs} of actions) {
				disturbances[kind]!(site.entries[index]!, site);
				site.run(pauseMs);
			}

			heal(site);
			site.run(recoveryMs);
			const up = site.entries.filter(({life}) => life === 'up').length;
			// A healed entry that was replaced stays, and a long disturbance may bring in one more each few seconds.
			const hits = actions.reduce((sum, {pauseMs}) => sum + 1 + Math.ceil(pauseMs / 4000), 0);
			return site.serving().length >= Math.min(up, deciderCount) && site.deciders().length <= deciderCount + hits;
		}), {numRuns: 150, seed: 20_261_205});
	});
});

for (const outageMs of [5000, 9000, 10_500, 12_000, 13_000, 20_000, 60_000]) {
	for (const [name, ways] of Object.entries({everything: {canRead: false, canWrite: false}, 'only announcements': {canWrite: false}})) {
		test(`a store that refuses ${name} to all for ${outageMs} ms makes no further entry a decider`, t => {
			for (const offsetMs of [0, 700, 1500, 2300, 3100]) {
				const site = simulate(10);
				site.run(5000 + offsetMs);
				const before = site.deciders();
				for (const entry of site.entries) {
					Object.assign(entry, ways);
				}

				site.run(outageMs);
				heal(site);
				site.run(30_000);
				t.deepEqual(idsOf(site.deciders()), idsOf(before));
			}
		});
	}
}

test('when the store turns all deciders away and no other entry, others decide before the announcements expire', t => {
	const site = simulate(10);
	site.run(6000);
	const turnedAway = site.deciders();
	for (const entry of turnedAway) {
		Object.assign(entry, {canRead: false, canWrite: false});
	}

	site.run(9500);
	t.is(site.serving().length, deciderCount);
	heal(site);
	site.run(30_000);
	t.is(site.deciders().length, 2 * deciderCount, 'a decider stays one until its process ends');
	for (const entry of turnedAway) {
		entry.life = 'down';
		site.run(4500);
		site.restart(entry);
		site.run(4000);
	}

	t.is(site.deciders().length, deciderCount, 'a restart ends what is too much');
});

test('a rolling restart over all deciders leaves enough of them at every time, and the same ones at its end', t => {
	const site = simulate(10);
	site.run(6000);
	const before = site.deciders();
	for (const entry of before) {
		entry.life = 'down';
		site.run(6000);
		t.true(site.serving().length >= deciderCount - 1);
		site.restart(entry);
		site.run(3000);
	}

	t.deepEqual(idsOf(site.deciders()), idsOf(before));
});

test('a site that grows beyond the number of deciders and shrinks below it always has as many as it can', t => {
	const site = simulate(8);
	for (const entry of site.entries.slice(2)) {
		entry.life = 'down';
	}

	site.run(4000);
	t.is(site.deciders().length, 2);
	for (const entry of site.entries.slice(2)) {
		site.restart(entry);
		site.run(4000);
	}

	t.is(site.deciders().length, deciderCount);
	for (const entry of site.entries.slice(0, 6)) {
		entry.life = 'down';
		site.run(15_000);
		t.true(site.deciders().length >= Math.min(deciderCount, site.entries.filter(({life}) => life === 'up').length));
	}
});
