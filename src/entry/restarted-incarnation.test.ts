import test from 'ava';
import {create} from '@bufbuild/protobuf';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {HeartbeatSchema, HelloSchema} from '../generated/arbutushinge/v1/agent_pb.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type EntryEvent} from './entry-event.js';
import {initialEntryState} from './entry-state.js';
import {reduceEntry} from './reduce-entry.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'entry-1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

/** Runs an entry whose records are read back after 100 ms, and returns when it granted the agent leases, and when the new incarnation was registered. */
function runRestart(endsAtMs: number, untilMs: number) {
	let state = initialEntryState('first');
	let registeredAtMs = Number.POSITIVE_INFINITY;
	const sequences = new Map<string, number>();
	const log: Array<Readonly<{incarnation: string; record: ClusterRecord}>> = [{
		incarnation: 'other', record: {
			kind: 'entry-registered', entryId: 'entry-2', failureDomain: 'a', operatorAddress: '127.0.0.1:5',
		},
	}];
	const read: Array<Readonly<{offset: number}>> = [];
	const grantsMs: number[] = [];

	function dispatch(event: EntryEvent, nowMs: number): void {
		const transition = reduceEntry(state, event, {
			nowMs, wallTimeMs: nowMs, seed: 1, pendingAppends: 0,
		}, settings);
		state = transition.state;
		for (const effect of transition.effects) {
			if (effect.kind === 'append-record') {
				log.push({incarnation: state.incarnation, record: effect.record});
			} else if (effect.kind === 'restart-incarnation') {
				dispatch({kind: 'incarnation-started', incarnation: 'second'}, nowMs);
			} else if (effect.kind === 'send-to-agent' && effect.command.case === 'leaseGrant' && (effect.command.value.durationMs ?? 0) > 0) {
				grantsMs.push(nowMs);
			}
		}
	}

	for (let nowMs = 0; nowMs <= untilMs; nowMs += 50) {
		if (nowMs === 0) {
			dispatch({
				kind: 'agent-hello', sessionId: 's', hello: create(HelloSchema, {
					vmId: 'vm-1', agentIncarnation: 'agent-1', workerIncarnation: 'w', requestAddress: '127.0.0.1:6',
				}),
			}, nowMs);
		}

		if (nowMs === endsAtMs) {
			log.push({
				incarnation: 'other', record: {
					kind: 'entry-ended', entryId: 'entry-1', incarnation: 'first', reason: 'test',
				},
			});
		}

		if (nowMs % 1000 === 0) {
			dispatch({kind: 'agent-heartbeat', sessionId: 's', heartbeat: create(HeartbeatSchema, {sequence: BigInt(nowMs / 1000)})}, nowMs);
		}

		if (nowMs % 100 === 0) {
			const records = log.splice(0).map(({incarnation, record}) => {
				const sequence = (sequences.get(incarnation) ?? 0) + 1;
				sequences.set(incarnation, sequence);
				const logged = {
					offset: read.length, envelope: {
						writer: incarnation, incarnation, sequence, record,
					},
				};
				read.push(logged);
				return logged;
			});
			dispatch({
				kind: 'log-page', readSentAtMs: nowMs, reachedTail: true, records,
			}, nowMs);
		}

		dispatch({kind: 'tick'}, nowMs);
		if (state.incarnation === 'second' && state.cluster.entries.has('second')) {
			registeredAtMs = Math.min(registeredAtMs, nowMs);
		}
	}

	return {grantsMs, registeredAtMs};
}

test('an entry that was declared ended grants leases again as soon as its new incarnation is registered', t => {
	const endsAtMs = 3050;
	const {grantsMs, registeredAtMs} = runRestart(endsAtMs, 15_000);
	t.true(registeredAtMs < endsAtMs + 1000, `registered at ${registeredAtMs}`);
	const firstGrantMs = grantsMs.find(atMs => atMs > registeredAtMs) ?? Number.POSITIVE_INFINITY;
	t.true(firstGrantMs <= registeredAtMs + 500, `granted at ${firstGrantMs}`);
});
