/** An announcement's key in the store and the offset of its newest record. */
export type AnnouncementRecord = Readonly<{key: string; offset: number}>;

/** How recently an entry announced itself: `overtaken` when others had announced themselves several times since at the first read, `expired` when it is to be left out. */
export type AnnouncementAge = 'fresh' | 'overtaken' | 'expired';

/** Times that an entry announces itself within the lifetime of an announcement, a restart included. */
const announcementsPerLifetime = 5;

/** The ages of the announcements that a reader has seen. */
export type AnnouncementAges = Readonly<{
	/** Returns the ages of the announcements of one read, by key; those that are no longer listed are forgotten. */
	evaluate: (records: readonly AnnouncementRecord[]) => ReadonlyMap<string, AnnouncementAge>;
}>;

/**
Creates a record of how old announcements are. The time of day decides nothing, since it may jump at the writer and at the reader: an
announcement ages by the reader's steady clock while its record in the store stays the same. At the first read, when that is unknown,
the order of the records in the store tells those that other entries have overtaken. After a pause of the reads as long as the lifetime
all ages start anew: the writers may have been kept from the store as well.

@param lifetimeMs age in milliseconds from which on an announcement is expired; entries announce themselves four times within it.

@example
const ages = createAnnouncementAges({lifetimeMs: 45_000, steadyMs: () => performance.now()});
ages.evaluate([{key: 'edge-1', offset: 7}]); // => Map {'edge-1' => 'fresh'}
*/
export function createAnnouncementAges({lifetimeMs, steadyMs}: Readonly<{lifetimeMs: number; steadyMs: () => number}>): AnnouncementAges {
	let seen: ReadonlyMap<string, Readonly<{offset: number; sinceMs: number; age: AnnouncementAge}>> | undefined;
	let lastReadMs = Number.POSITIVE_INFINITY;

	return {
		evaluate(records) {
			const nowMs = steadyMs();
			const overtakenKeys = seen ? new Set<string>() : findOvertakenKeys(records);
			const before = seen;
			const wasPaused = nowMs - lastReadMs >= lifetimeMs;
			lastReadMs = nowMs;
			seen = new Map(records.map(({key, offset}) => {
				const known = before?.get(key);
				if (known?.offset === offset) {
					return [key, wasPaused ? {...known, sinceMs: nowMs} : known];
				}

				return [key, {offset, sinceMs: nowMs, age: overtakenKeys.has(key) ? 'overtaken' : 'fresh'}];
			}));
			return new Map([...seen].map(([key, {sinceMs, age}]) => [key, nowMs - sinceMs < lifetimeMs ? age : 'expired']));
		},
	};
}

/** Returns the keys whose record is so far behind the newest that each of the others must have announced itself several times since. */
function findOvertakenKeys(records: readonly AnnouncementRecord[]): ReadonlySet<string> {
	const newestFirst = records.toSorted((left, right) => right.offset - left.offset);
	const newestOffset = newestFirst[0]?.offset ?? 0;
	return new Set(newestFirst.filter(({offset}, newerKeys) => newestOffset - offset > announcementsPerLifetime * newerKeys).map(({key}) => key));
}
