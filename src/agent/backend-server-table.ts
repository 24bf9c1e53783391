import type {Map as ImmutableMap} from 'immutable';

/** What a backend server announces of itself each second. */
export type Announcement = Readonly<{
	backendServerId: string;
	service: string;
	address: string;
	slots: number;
	connections: number;
}>;

/** A backend server as this VM's agent sees it. */
export type BackendServer = Announcement & Readonly<{
	lastAnnouncedMs: number;
	/** Whether the resources that its service demands are committed. Until then it receives no requests. */
	admitted: boolean;
	/** It has announced that it leaves. */
	leaving: boolean;
	/** The configuration drains it or its VM, or the agent stops. */
	draining: boolean;
	gone: boolean;
	/** Number of admitted requests that have not ended: at the backend server or waiting for a slot. */
	requests: number;
	latencyP99Ms: number;
}>;

export type BackendServerTable = ImmutableMap<string, BackendServer>;

/** Phase of a backend server, as reported to entries. */
export type BackendServerPhase = 'serving' | 'leaving' | 'drained' | 'gone';

/**
Returns the phase that is reported to entries. A backend server counts as drained only when no request is left.

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
Records an announcement. A leaving backend server stays leaving until it is gone, since it announces itself while it drains.

@example
recordAnnouncement(table, {backendServerId: 'b3', service: 'loaf-ordering', address: '127.0.0.1:9000', slots: 8, connections: 64}, 5000);
*/
export function recordAnnouncement(table: BackendServerTable, announcement: Announcement, nowMs: number): BackendServerTable {
	const recorded = table.get(announcement.backendServerId);
	const retained = recorded === undefined || recorded.gone
		? {
			admitted: false, leaving: false, draining: false, requests: recorded?.requests ?? 0, latencyP99Ms: 0,
		}
		: recorded;
	return table.set(announcement.backendServerId, {
		...retained, ...announcement, gone: false, lastAnnouncedMs: nowMs,
	});
}

/**
Marks the backend servers that stopped announcing themselves as gone.

@example
markGone(table, {nowMs: 9000, announceTimeoutMs: 4000});
*/
export function markGone(table: BackendServerTable, limits: Readonly<{nowMs: number; announceTimeoutMs: number}>): BackendServerTable {
	return table.map(backendServer => !backendServer.gone && backendServer.lastAnnouncedMs + limits.announceTimeoutMs <= limits.nowMs
		? {...backendServer, gone: true}
		: backendServer);
}
