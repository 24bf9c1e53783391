import type {Map as ImmutableMap} from 'immutable';

/** What a backend server says of itself each second. */
export type Announcement = Readonly<{
	backendServerId: string;
	service: string;
	address: string;
	slots: number;
	connections: number;
}>;

/** One backend server of this VM. */
export type BackendServer = Announcement & Readonly<{
	lastAnnouncedMs: number;
	/** Whether its service's demand was committed; it takes no request before. */
	admitted: boolean;
	/** It said that it is leaving. */
	leaving: boolean;
	/** The configuration drains it, its VM, or the agent stops. */
	draining: boolean;
	gone: boolean;
	/** Requests that were admitted and are not settled: with the backend server or waiting for a slot. */
	requests: number;
	latencyP99Ms: number;
}>;

export type BackendServerTable = ImmutableMap<string, BackendServer>;

/** What an entry is told about a backend server. */
export type BackendServerPhase = 'serving' | 'leaving' | 'drained' | 'gone';

/**
Derives the phase that entries are told. A backend server counts as drained only when no request is left.

@example
phaseOf({...backendServer, leaving: true, requests: 0}); // => 'drained'
*/
export function phaseOf(backendServer: BackendServer): BackendServerPhase {
	if (backendServer.gone) {
		return 'gone';
	}

	if (!backendServer.leaving && !backendServer.draining) {
		return 'serving';
	}

	return backendServer.requests === 0 ? 'drained' : 'leaving';
}

/**
Takes an announcement. One that leaves stays leaving until it was gone, since it announces itself while it drains.

@example
announce(table, {backendServerId: 'b3', service: 'loaf-ordering', address: '127.0.0.1:9000', slots: 8, connections: 64}, 5000);
*/
export function announce(table: BackendServerTable, announcement: Announcement, nowMs: number): BackendServerTable {
	const known = table.get(announcement.backendServerId);
	const kept = known === undefined || known.gone
		? {
			admitted: false, leaving: false, draining: false, requests: known?.requests ?? 0, latencyP99Ms: 0,
		}
		: known;
	return table.set(announcement.backendServerId, {
		...kept, ...announcement, gone: false, lastAnnouncedMs: nowMs,
	});
}

/**
Marks those as gone that stopped announcing themselves.

@example
markGone(table, {nowMs: 9000, announceTimeoutMs: 4000});
*/
export function markGone(table: BackendServerTable, limits: Readonly<{nowMs: number; announceTimeoutMs: number}>): BackendServerTable {
	return table.map(backendServer => !backendServer.gone && backendServer.lastAnnouncedMs + limits.announceTimeoutMs <= limits.nowMs
		? {...backendServer, gone: true}
		: backendServer);
}
