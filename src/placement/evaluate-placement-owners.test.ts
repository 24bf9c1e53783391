import test from 'ava';
import fc from 'fast-check';
import {Map as immutableMap, OrderedMap as orderedMap} from 'immutable';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {applyRecord} from '../cluster/reduce-cluster.js';
import {ownerByRendezvous, rankByRendezvous} from '../cluster/rendezvous.js';
import {type EntryContext} from '../entry/entry-context.js';
import {taskFixture} from '../operator/state-fixture.js';
import {placeQueuedTasks} from './place-queued-tasks.js';
import {initialPlacement, type PlacementState} from './placement-state.js';
import {evaluatePlacementOwners} from './evaluate-placement-owners.js';
import {contextAt, other, owner} from './queue-fixture.js';

const {taskId} = taskFixture.spec;

/** Runs a placement pass every 100 ms at the entry that is not the placement owner, and returns when it first claims the task. */
function firstClaimMs(ownerOffsetAt: (nowMs: number) => number): number | undefined {
	let state: PlacementState = initialPlacement;
	for (let nowMs = 0; nowMs <= 5000; nowMs += 100) {
		const transition = placeQueuedTasks(state, contextAt(nowMs, ownerOffsetAt(nowMs)));
		state = transition.state;
		if (transition.effects.length > 0) {
			return nowMs;
		}
	}

	return undefined;
}

test('a queued task is left to its placement owner while that entry writes records', t => {
	t.is(firstClaimMs(nowMs => Math.floor(nowMs / 300)), undefined);
});

test('the tasks of a placement owner that has ended are placed by another entry within a second of its last record', t => {
	const claimedMs = firstClaimMs(nowMs => Math.min(7, Math.floor(nowMs / 300)));
	t.true(claimedMs !== undefined && claimedMs > 2100 && claimedMs <= 3100, `claimed at ${claimedMs ?? 'no time'}`);
});

test('an entry that is behind with the log does not take over from a placement owner whose records it has not read', t => {
	const seen = placeQueuedTasks(initialPlacement, contextAt(1000, 1));
	const {logFreshnessMs, placementTakeoverMs} = contextAt(0, 1).settings.timings;
	for (let nowMs = 1000; nowMs < 1000 + logFreshnessMs; nowMs += 100) {
		t.deepEqual(placeQueuedTasks(seen.state, {...contextAt(nowMs, 1), tailConfirmedSentAtMs: 1000}).effects, []);
	}

	const readAgain = {...contextAt(1100 + placementTakeoverMs, 1), tailConfirmedSentAtMs: 1000 + placementTakeoverMs};
	t.is(placeQueuedTasks(seen.state, readAgain).effects.length, 1);
});

/** Simulates a log in which the `stuck` entries write but no longer read; every entry writes a heartbeat each 300 ms. */
function stuckOwnerLog(stuck: ReadonlySet<string>) {
	let {cluster} = contextAt(0, 1);
	const stuckAtOffset = cluster.offset;
	const write = (incarnation: string, record: ClusterRecord): void => {
		cluster = applyRecord(cluster, {
			offset: cluster.offset + 1,
			envelope: {
				writer: incarnation, incarnation, sequence: (cluster.sequences.get(incarnation) ?? 0) + 1, record,
			},
		});
	};

	return {
		write,
		/** Writes the records of 100 ms and returns the state after them. Task events do not show how far the owner has read. */
		passTo(nowMs: number): ClusterState {
			write(owner, {
				kind: 'task-started', taskId: 'task-elsewhere', attempt: 1, agentIncarnation: 'agent-1',
			});
			if (nowMs % 300 === 0) {
				for (const incarnation of [owner, other]) {
					write(incarnation, {kind: 'entry-alive', appliedOffset: stuck.has(incarnation) ? stuckAtOffset : cluster.offset});
				}
			}

			return cluster;
		},
		catchUp(incarnation: string): ClusterState {
			write(incarnation, {kind: 'entry-alive', appliedOffset: cluster.offset});
			return cluster;
		},
	};
}

test('the tasks of a placement owner that writes records but has not read the log for seconds are placed by the next entry', t => {
	const log = stuckOwnerLog(new Set([owner]));
	let state: PlacementState = initialPlacement;
	const claimedAtMs: number[] = [];
	for (let nowMs = 0; nowMs <= 8000; nowMs += 100) {
		const transition = placeQueuedTasks(state, {...contextAt(nowMs, 1), cluster: log.passTo(nowMs)});
		state = transition.state;
		for (const effect of transition.effects) {
			if (effect.kind === 'append-record') {
				claimedAtMs.push(nowMs);
				log.write(other, effect.record);
			}
		}
	}

	t.is(claimedAtMs.length, 1);
	// An owner that has just stopped reading still places the tasks it has recorded; claims of an entry that took over earlier would conflict with its claims.
	t.true(claimedAtMs[0]! > 1500 && claimedAtMs[0]! <= 3000, `claimed at ${claimedAtMs[0]!}`);
});

/** Returns the entries that consider themselves the placement owner of the queued task once they have applied a state. */
const ownersAt = (cluster: ClusterState): readonly string[] => [owner, other]
	.filter(incarnation => evaluatePlacementOwners(immutableMap(), {...contextAt(0, 1), cluster, incarnation}).isOwn(taskFixture.jobId));

test('a placement owner that is behind with the log is replaced, and is the owner again when it has caught up', t => {
	const log = stuckOwnerLog(new Set([owner]));
	t.deepEqual(ownersAt(log.passTo(0)), [owner]);
	for (let nowMs = 100; nowMs <= 3000; nowMs += 100) {
		log.passTo(nowMs);
	}

	t.deepEqual(ownersAt(log.passTo(3100)), [other]);
	t.deepEqual(ownersAt(log.catchUp(owner)), [owner]);
});

test('when all entries are behind with the log, the first one that writes is the placement owner', t => {
	const log = stuckOwnerLog(new Set([owner, other]));
	for (let nowMs = 0; nowMs <= 6000; nowMs += 100) {
		t.deepEqual(ownersAt(log.passTo(nowMs)), [owner]);
	}
});

test('whatever the heartbeats report, exactly one of the entries that have read the same records is the placement owner', t => {
	fc.assert(fc.property(fc.array(fc.record({isOwner: fc.boolean(), unread: fc.nat(40)}), {maxLength: 80}), heartbeats => {
		const log = stuckOwnerLog(new Set());
		for (const {isOwner, unread} of heartbeats) {
			const cluster = log.passTo(100);
			log.write(isOwner ? owner : other, {kind: 'entry-alive', appliedOffset: Math.max(-1, cluster.offset - unread)});
			t.is(ownersAt(log.passTo(100)).length, 1);
		}
	}));
});

test('of several entries only the next one takes over from a placement owner that has ended, so that no claims conflict', t => {
	const entryIds = ['i1', 'i2', 'i3', 'i4'];
	const ranked = rankByRendezvous(entryIds, taskFixture.jobId);
	const contextOf = (incarnation: string, nowMs: number): EntryContext => {
		const context = contextAt(nowMs, 1);
		const [, member] = [...context.cluster.entries][0]!;
		const entries = immutableMap(entryIds.map(entryId => [entryId, {
			...member, entryId, incarnation: entryId, lastOffset: entryId === ranked[0] ? 7 : Math.floor(nowMs / 300),
		}]));
		return {...context, incarnation, cluster: {...context.cluster, entries}};
	};

	const claimants = ranked.filter(incarnation => {
		let state: PlacementState = initialPlacement;
		for (let nowMs = 0; nowMs <= 3000; nowMs += 100) {
			const transition = placeQueuedTasks(state, contextOf(incarnation, nowMs));
			state = transition.state;
			if (transition.effects.length > 0) {
				return true;
			}
		}

		return false;
	});
	t.deepEqual(claimants, ranked.slice(0, 2));
});

test('a task is placed by its owner although the oldest queued task belongs to another live entry', t => {
	const context = contextAt(0, 1);
	const {cluster} = context;
	const own = Array.from({length: 50}, (_, index) => `job-${index}`).find(jobId => ownerByRendezvous(['i1', 'i2'], jobId) === other)!;
	const task: Task = {
		...taskFixture, jobId: own, spec: {...taskFixture.spec, taskId: 'task-own'}, phase: 'queued', claim: undefined,
	};
	const transition = placeQueuedTasks(initialPlacement, {
		...context,
		cluster: {
			...cluster,
			jobs: immutableMap([[taskFixture.jobId, [taskId]], [own, ['task-own']]]),
			unfinishedTasksByJob: immutableMap([[taskFixture.jobId, 1], [own, 1]]),
			tasks: cluster.tasks.set('task-own', task),
			queued: cluster.queued.update(taskFixture.priority, orderedMap<string, true>(), tasks => tasks.set('task-own', true)),
		},
	});
	t.deepEqual(transition.effects.map(effect => effect.kind === 'append-record' && effect.record.kind === 'task-claimed' ? effect.record.taskId : ''), ['task-own']);
});
