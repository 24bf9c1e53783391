import type {EventLog} from '../telemetry/event-log.js';
import type {EntrySession, EntrySessionHandlers} from './entry-session.js';
import {selectEntries} from './select-entries.js';

/** Time after which an entry that the agent has no stream to counts as lost; opening one takes a few milliseconds. */
const connectPatienceMs = 700;

/** Time without a lease after which another entry is tried; leases are granted with each heartbeat, once a second. */
const grantPatienceMs = 2500;

/** An entry that grants no lease still relays what the agent reports; when none grants one, the streams double and no more. */
const useWithoutLease = 0.5;

type Member = {
	readonly session: EntrySession;
	isConnected: boolean;
	/** When the session was begun, or a stream of use was lost, or a lease was granted last; that an entry takes a stream proves nothing. */
	provenAtMs: number;
};

/** The agent's streams to the entries. */
export type EntrySessions = Readonly<{
	/** Takes the addresses of all entries, best first. */
	rank: (rankedAddresses: readonly string[]) => void;
	/** Looks for entries that were lost or are back; `needsLease` says whether an entry without a lease to grant is of use. */
	review: (needsLease: boolean) => void;
	noteGrant: (entryAddress: string) => void;
	send: (entryAddress: string, message: Parameters<EntrySession['send']>[0]) => void;
	close: () => Promise<void>;
}>;

/**
Keeps streams to the best entries that are of use: one that cannot be reached, or that grants no lease because it does not reach
the log, is replaced by the next one until it is back. Few streams keep the work of entries and agents small in a large fleet.

@param count streams to entries of use; without it, all entries get one.

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
	const members = new Map<string, Member>();
	let ranked: readonly string[] = [];
	let kept: readonly string[] = [];
	let isClosed = false;

	/** An entry that was not tried yet counts as good. */
	function useOf(entryAddress: string): number {
		const member = members.get(entryAddress);
		const sinceProvenMs = member === undefined ? 0 : nowMs() - member.provenAtMs;
		if (member?.isConnected) {
			return sinceProvenMs > grantPatienceMs ? useWithoutLease : 1;
		}

		return sinceProvenMs > connectPatienceMs ? 0 : 1;
	}

	function noteConnection(entryAddress: string, isConnected: boolean): void {
		const member = members.get(entryAddress);
		if (member) {
			const isOfUse = useOf(entryAddress) === 1;
			member.isConnected = isConnected;
			member.provenAtMs = isOfUse && !isConnected ? nowMs() : member.provenAtMs;
		}
	}

	function keep(): void {
		const wanted = isClosed ? [] : selectEntries(ranked, {count: count ?? ranked.length, useOf});
		if (wanted.join(',') === kept.join(',')) {
			return;
		}

		kept = wanted;
		for (const [entryAddress, {session}] of members) {
			if (!wanted.includes(entryAddress)) {
				eventLog.info('entry-forgotten', {entryAddress});
				members.delete(entryAddress);
				void session.close();
			}
		}

		onChange(wanted);
		for (const entryAddress of wanted) {
			if (!members.has(entryAddress)) {
				const session = open(entryAddress, {
					connected() {
						noteConnection(entryAddress, true);
					},
					disconnected() {
						noteConnection(entryAddress, false);
					},
				});
				members.set(entryAddress, {session, isConnected: false, provenAtMs: nowMs()});
			}
		}
	}

	return {
		rank(rankedAddresses) {
			ranked = rankedAddresses;
			keep();
		},
		review(needsLease) {
			for (const member of members.values()) {
				if (member.isConnected && !needsLease) {
					member.provenAtMs = nowMs();
				}
			}

			keep();
		},
		noteGrant(entryAddress) {
			const member = members.get(entryAddress);
			if (member) {
				member.provenAtMs = nowMs();
			}
		},
		send(entryAddress, message) {
			members.get(entryAddress)?.session.send(message);
		},
		async close() {
			isClosed = true;
			await Promise.all([...members.values()].map(async ({session}) => session.close()));
		},
	};
}
