import {type Result} from 'true-myth/result';
import {type ClusterRecordOf, type PlacementDecision} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type TypedError} from '../errors/typed-error.js';
import {type LoggedRecord} from '../log/log-envelope.js';

export type TaskClaimedRecord = ClusterRecordOf<'task-claimed'>;

/** Pure functions that a replay calls; `replayFunctions` holds those that entries use. */
export type ReplayFunctions = Readonly<{
	/** The cluster state before the first record. */
	initialState: ClusterState;
	applyRecord: (state: ClusterState, record: LoggedRecord) => ClusterState;
	/** Recomputes a placement decision on the state at its recorded offset; undefined when it places the task on no VM. */
	decide: (state: ClusterState, claim: TaskClaimedRecord) => Readonly<{vmId: string; decision: PlacementDecision}> | undefined;
	/** Decodes the state of a snapshot. A replay starts from it when the log no longer retains the first records. */
	decodeState: (value: unknown) => Result<ClusterState, TypedError>;
}>;

/** One field of a recorded decision that the replay computed differently. */
export type ReplayDifference = Readonly<{
	offset: number;
	taskId: string;
	field: string;
	recorded: string;
	replayed: string;
}>;

export type ReplayReport = Readonly<{
	firstOffset: number;
	lastOffset: number;
	decisions: number;
	/** Decisions that were not recomputed: their input state is not stored, or their record lacks the inputs of the scores. */
	skipped: number;
	differences: readonly ReplayDifference[];
}>;

/** Most states that a replay stores. Entries decide on states at most a few seconds old; this covers 10 s at several hundred appends per second. */
const MAXIMUM_STORED_STATES = 8192;

/** A replay that receives the records of a log page by page. */
export type Replay = Readonly<{
	/** Applies the next records in log order. */
	add: (records: readonly LoggedRecord[]) => void;
	report: () => ReplayReport;
}>;

/**
Starts a replay. It recomputes each recorded placement decision on the cluster state at the decision's `stateOffset` and compares the results.

@example
const replay = startReplay(functions);
replay.add(page.records);
replay.report().differences;
*/
export function startReplay(functions: ReplayFunctions): Replay {
	const {initialState, applyRecord, decide} = functions;
	/** States by offset, oldest first; they share most of their structure. */
	const states = new Map<number, ClusterState>([[initialState.offset, initialState]]);
	const differences: ReplayDifference[] = [];
	let state = initialState;
	let firstOffset = -1;
	let decisions = 0;
	let skipped = 0;
	return {
		add(records) {
			for (const logged of records) {
				const {offset, envelope: {record}} = logged;
				firstOffset = firstOffset === -1 ? offset : firstOffset;
				if (record.kind === 'task-claimed') {
					decisions++;
					const input = states.get(record.decision.stateOffset);
					if (input === undefined || record.decision.candidates.some(candidate => candidate.inputs === undefined)) {
						skipped++;
					} else {
						differences.push(...compareDecision(offset, record, decide(input, record)));
					}
				}

				state = applyRecord(state, logged);
				states.set(state.offset, state);
				if (states.size > MAXIMUM_STORED_STATES) {
					states.delete(states.keys().next().value!);
				}
			}
		},
		report: () => ({
			firstOffset, lastOffset: state.offset, decisions, skipped, differences: [...differences],
		}),
	};
}

/**
Replays a complete list of records.

@example
replayRecords(records, functions).differences;
// => [] when every recomputed decision equals the recorded one
*/
export function replayRecords(records: readonly LoggedRecord[], functions: ReplayFunctions): ReplayReport {
	const replay = startReplay(functions);
	replay.add(records);
	return replay.report();
}

function compareDecision(offset: number, claim: TaskClaimedRecord, replayed: ReturnType<ReplayFunctions['decide']>): readonly ReplayDifference[] {
	const recordedFields = fieldsOf(claim.vmId, claim.decision);
	const replayedFields = replayed === undefined ? undefined : fieldsOf(replayed.vmId, replayed.decision);
	return Object.entries(recordedFields)
		.map(([field, recorded]) => ({
			offset, taskId: claim.taskId, field, recorded, replayed: replayedFields?.[field] ?? 'no placement',
		}))
		.filter(difference => difference.recorded !== difference.replayed)
		// Without a placement every field differs; one difference is enough.
		.slice(0, replayedFields === undefined ? 1 : undefined);
}

function fieldsOf(vmId: string, decision: PlacementDecision): Readonly<Record<string, string>> {
	return {
		vmId,
		candidates: decision.candidates.map(({vmId: id, scoreMilli, harmMilli}) => `${id} score ${scoreMilli} harm ${harmMilli}`).join(', '),
		consideredVms: String(decision.consideredVms),
	};
}
