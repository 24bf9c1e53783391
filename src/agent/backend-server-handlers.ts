import type {Resources} from '../cluster/resources.js';
import {noResources} from './no-resources.js';
import type {AgentEffect} from './agent-effect.js';
import type {AgentState} from './agent-state.js';
import {
	recordAnnouncement, markGone, type Announcement, type BackendServer,
} from './backend-server-table.js';
import {commitResources, releaseResources} from './ledger.js';
import {evictForDemand} from './task-handlers.js';
import {chain, transition, type Transition} from './transition.js';

/** How long a backend server that is gone stays recorded, so that every entry receives its phase. */
const goneRetentionMs = 30_000;

const holderOf = (backendServerId: string): string => `backend-server/${backendServerId}`;

function demandOf(state: AgentState, backendServer: BackendServer): Resources {
	return state.configuration.services.get(backendServer.service)?.demand ?? noResources;
}

/** Commits the demand of one backend server, or evicts batch tasks until it fits. */
function reconcileBackendServer(backendServerId: string): (state: AgentState) => Transition {
	return state => {
		const backendServer = state.backendServers.get(backendServerId);
		if (backendServer === undefined) {
			return transition(state);
		}

		const isDraining = state.stop !== undefined || state.configuration.vmDraining || state.configuration.drainingBackendServers.includes(backendServerId);
		const current: AgentState = isDraining === backendServer.draining
			? state
			: {...state, backendServers: state.backendServers.set(backendServerId, {...backendServer, draining: isDraining})};
		const holder = holderOf(backendServerId);
		if (backendServer.gone) {
			return transition({...current, ledger: releaseResources(current.ledger, holder)});
		}

		const demand = demandOf(current, backendServer);
		const held = current.ledger.holders.get(holder);
		if (held?.processorsMilli === demand.processorsMilli && held.memoryMb === demand.memoryMb && held.accelerators === demand.accelerators) {
			return transition(current);
		}

		const ledger = commitResources(current.ledger, holder, demand);
		return ledger === undefined
			? evictForDemand(current, demand, `backend server ${backendServerId} needs the room`)
			: transition({
				...current, ledger, backendServers: current.backendServers.set(backendServerId, {...backendServer, draining: isDraining, admitted: true}),
			});
	};
}

/**
Brings the ledger and the draining of every backend server in line with the configuration.

@example
chain(state, reconcileBackendServers);
*/
export function reconcileBackendServers(state: AgentState): Transition {
	return chain(state, ...[...state.backendServers.keys()].map(id => reconcileBackendServer(id)));
}

/**
Answers the leaving backend servers that have no request left.

@example
chain(state, answerLeaving);
*/
export function answerLeaving(state: AgentState): Transition {
	return transition(state, ...[...state.backendServers.values()]
		.filter(backendServer => backendServer.leaving && backendServer.requests === 0)
		.map((backendServer): AgentEffect => ({kind: 'answer-leaving', backendServerId: backendServer.backendServerId})));
}

/**
Records an announcement and commits the demand of the backend server.

@example
backendServerAnnounced(state, announcement, nowMs);
*/
export function backendServerAnnounced(state: AgentState, announcement: Announcement, nowMs: number): Transition {
	const recorded = state.backendServers.get(announcement.backendServerId);
	return chain(
		{...state, backendServers: recordAnnouncement(state.backendServers, announcement, nowMs)},
		current => transition(current, ...recorded === undefined || recorded.gone ? [lifecycleLog('backend-server-announced', announcement)] : []),
		reconcileBackendServer(announcement.backendServerId),
	);
}

const lifecycleLog = (event: string, backendServer: Readonly<{backendServerId: string; service: string}>): AgentEffect => ({
	kind: 'log', level: 'info', event, fields: {backendServerId: backendServer.backendServerId, service: backendServer.service},
});

/**
Records that a backend server leaves: it receives no new request from then on. One that is not recorded is answered at once.

@example
backendServerLeaving(state, 'b3');
*/
export function backendServerLeaving(state: AgentState, backendServerId: string): Transition {
	const backendServer = state.backendServers.get(backendServerId);
	return backendServer === undefined
		? transition(state, {kind: 'answer-leaving', backendServerId})
		: transition(
			{...state, backendServers: state.backendServers.set(backendServerId, {...backendServer, leaving: true})},
			lifecycleLog('backend-server-leaving', backendServer),
		);
}

/**
Marks the backend servers that stopped announcing themselves as gone, and removes them after the retention time.

@example
chain(state, expireBackendServers(nowMs));
*/
export function expireBackendServers(nowMs: number): (state: AgentState) => Transition {
	return state => {
		const marked = markGone(state.backendServers, {nowMs, announceTimeoutMs: state.settings.timings.announceTimeoutMs});
		const newlyGone = [...marked.values()].filter(each => each.gone && !state.backendServers.get(each.backendServerId)?.gone);
		const removed = [...marked.values()].filter(each => each.gone && each.requests === 0 && each.lastAnnouncedMs + goneRetentionMs <= nowMs);
		let {ledger} = state;
		for (const each of newlyGone) {
			ledger = releaseResources(ledger, holderOf(each.backendServerId));
		}

		return transition(
			{
				...state,
				ledger,
				backendServers: marked.deleteAll(removed.map(each => each.backendServerId)),
			},
			...newlyGone.map(each => lifecycleLog('backend-server-gone', each)),
			...removed.map((each): AgentEffect => ({kind: 'forget-backend-server', backendServerId: each.backendServerId})),
		);
	};
}

