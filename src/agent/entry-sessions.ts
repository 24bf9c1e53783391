import type {EventLog} from '../telemetry/event-log.js';
import {isAddress} from '../validation/address.js';
import {createLackLog} from '../telemetry/lack-log.js';
import {boundedText} from '../validation/bounded-text.js';
import type {EntrySession, EntrySessionHandlers} from './entry-session.js';
import {selectEntries} from './select-entries.js';

/** Time without a stream after which an entry counts as unreachable; opening a stream takes a few milliseconds. */
const connectTimeoutMs = 700;

/** Time without a lease grant after which another entry is tried; leases are granted with each heartbeat, once a second. */
const grantTimeoutMs = 2500;

/** Usefulness of an entry that grants no lease: it still relays the agent's reports. When no entry grants one, the number of streams only doubles. */
const usefulnessWithoutLease = 0.5;

/** Time without a lease from any entry after which it is logged, and time between two lines. */
const lackAfterMs = 4000;
const lackRepeatMs = 10_000;

/** Time without a lease from any entry after which others take the places of those beyond the best ones, which may all be kept from the log. */
const rotateAfterMs = 10_000;

type SessionState = {
	readonly session: EntrySession;
	isConnected: boolean;
	/** Whether it has granted a lease, or was open while none was needed. */
	isConfirmed: boolean;
	/**
	Time of the newest of these: the session was opened, a stream of a useful entry was lost, a lease was granted, the stream was open while no
	lease was needed. A stream that opens confirms nothing.
	*/
	lastUsefulAtMs: number;
};

/** The agent's streams to the entries. */
export type EntrySessions = Readonly<{
	/** Sets the addresses of all entries, best first; what is no address, or stands there twice, is left out. */
	rank: (rankedAddresses: readonly string[]) => void;
	/** Selects the entries again; `needsLease` is whether an entry that grants no lease is less useful. */
	review: (needsLease: boolean) => void;
	recordGrant: (entryAddress: string) => void;
	send: (entryAddress: string, message: Parameters<EntrySession['send']>[0]) => void;
	close: () => Promise<void>;
}>;

/**
Maintains streams to the best useful entries: an entry that is unreachable, or that grants no lease because it does not reach the log,
is replaced by the next one until it is useful again. A small number of streams keeps the load of entries and agents low in a large fleet.

@param count number of streams to useful entries; without it, every entry gets a stream.

@example
const sessions = createEntrySessions({count: 3, open, onChange, nowMs, eventLog});
sessions.rank(['10.1.0.13:7720', '10.2.0.30:7720']);
*/
export function createEntrySessions({count, open, onChange, nowMs, eventLog}: Readonly<{
	count?: number;
	/** Opens a stream; the handlers are called while it changes. */
	open: (entryAddress: string, handlers: Pick<EntrySessionHandlers, 'connected' | 'disconnected'>) => EntrySession;
	/** Called with the addresses of the entries that have a stream, before new streams are opened. */
	onChange: (entryAddresses: readonly string[]) => void;
	nowMs: () => number;
	eventLog: EventLog;
}>): EntrySessions {
	const sessionStates = new Map<string, SessionState>();
	let ranked: readonly string[] = [];
	let unusable: readonly string[] = [];
	let openAddresses: readonly string[] = [];
	let isClosed = false;
	/** How far the entries beyond the best ones are rotated, and when they were last. */
	let turn = 0;
	let rotatedAtMs = nowMs();
	const recordLack = createLackLog({
		began: {event: 'entries-unusable'}, ended: {event: 'entries-usable'}, afterMs: lackAfterMs, repeatMs: lackRepeatMs, nowMs, eventLog,
	});

	/** Returns the usefulness of an entry, from 0 to 1; an entry that was not tried yet counts as useful. */
	function usefulnessOf(entryAddress: string): number {
		const state = sessionStates.get(entryAddress);
		const sinceUsefulMs = state === undefined ? 0 : nowMs() - state.lastUsefulAtMs;
		if (state?.isConnected) {
			return sinceUsefulMs > grantTimeoutMs ? usefulnessWithoutLease : 1;
		}

		return sinceUsefulMs > connectTimeoutMs ? 0 : 1;
	}

	function recordConnection(entryAddress: string, isConnected: boolean): void {
		const state = sessionStates.get(entryAddress);
		if (state) {
			const wasUseful = usefulnessOf(entryAddress) === 1;
			state.isConnected = isConnected;
			state.lastUsefulAtMs = wasUseful && !isConnected ? nowMs() : state.lastUsefulAtMs;
		}
	}

	function isServing(entryAddress: string): boolean {
		const state = sessionStates.get(entryAddress);
		return state?.isConnected === true && state.isConfirmed && usefulnessOf(entryAddress) === 1;
	}

	/** Returns the entries in the order in which they are tried: the best ones, others that serve this agent, and the rest in turn. */
	function tryOrder(): readonly string[] {
		const best = ranked.slice(0, count);
		const others = ranked.slice(best.length);
		const rest = others.filter(address => !isServing(address));
		const start = rest.length === 0 ? 0 : turn % rest.length;
		return [...best, ...others.filter(address => isServing(address)), ...rest.slice(start), ...rest.slice(0, start)];
	}

	/** Gives places to entries that were not tried, at most each `rotateAfterMs`, so that an outage of the log for all seldom opens streams. */
	function rotate(lackMs: number): void {
		if (lackMs >= rotateAfterMs && nowMs() - rotatedAtMs >= rotateAfterMs && openAddresses.length < ranked.length) {
			turn += openAddresses.length - Math.min(count ?? ranked.length, openAddresses.length);
			rotatedAtMs = nowMs();
		}
	}

	function updateSessions(): void {
		const selected = isClosed ? [] : selectEntries(tryOrder(), {count: count ?? ranked.length, usefulnessOf});
		if (selected.join(',') === openAddresses.join(',')) {
			return;
		}

		openAddresses = selected;
		for (const [entryAddress, {session}] of sessionStates) {
			if (!selected.includes(entryAddress)) {
				eventLog.info('entry-forgotten', {entryAddress});
				sessionStates.delete(entryAddress);
				void session.close();
			}
		}

		onChange(selected);
		for (const entryAddress of selected) {
			if (!sessionStates.has(entryAddress)) {
				const session = open(entryAddress, {
					connected() {
						recordConnection(entryAddress, true);
					},
					disconnected() {
						recordConnection(entryAddress, false);
					},
				});
				sessionStates.set(entryAddress, {
					session, isConnected: false, isConfirmed: false, lastUsefulAtMs: nowMs(),
				});
			}
		}
	}

	return {
		rank(rankedAddresses) {
			const found = rankedAddresses.filter((address): boolean => !isAddress(address));
			const newest = found.find(address => !unusable.includes(address));
			if (newest !== undefined) {
				eventLog.warn('entry-address-unusable', {entryAddress: boundedText(newest), addresses: found.length});
			}

			unusable = found;
			ranked = [...new Set(rankedAddresses.filter(address => isAddress(address)))];
			updateSessions();
		},
		review(needsLease) {
			for (const state of sessionStates.values()) {
				if (state.isConnected && !needsLease) {
					state.isConfirmed = true;
					state.lastUsefulAtMs = nowMs();
				}
			}

			const states = [...sessionStates.entries()];
			rotate(recordLack(!states.some(([address]) => isServing(address)), {streams: states.filter(([, {isConnected}]) => isConnected).length, tried: states.length, known: ranked.length}));
			updateSessions();
		},
		recordGrant(entryAddress) {
			const state = sessionStates.get(entryAddress);
			if (state) {
				state.isConfirmed = true;
				state.lastUsefulAtMs = nowMs();
			}
		},
		send(entryAddress, message) {
			sessionStates.get(entryAddress)?.session.send(message);
		},
		async close() {
			isClosed = true;
			await Promise.all([...sessionStates.values()].map(async ({session}) => session.close()));
		},
	};
}
