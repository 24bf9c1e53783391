import {type Result} from 'true-myth/result';
import {type ClusterRecordOf, type PlacementDecision} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type TypedError} from '../errors/typed-error.js';
import {type LoggedRecord} from '../log/log-envelope.js';

export type TaskClaimed = ClusterRecordOf<'task-claimed'>;

/** The pure functions that replay runs again; the entry's own ones are passed in. */
export type ReplayFunctions = Readonly<{
	/** The cluster state before the first record. */
	initialState: ClusterState;
	applyRecord: (state: ClusterState, record: LoggedRecord) => ClusterState;
	/** Decides again on the state that the recorded decision names; undefined when it places the task nowhere. */
	decide: (state: ClusterState, claim: TaskClaimed) => Readonly<{vmId: string; decision: PlacementDecision}> | undefined;
	/** Reads the state of a snapshot, for a log whose first records are past retention. */
	decodeState: (value: unknown) => Result<ClusterState, TypedError>;
}>;

/** A recorded decision that came out differently. */
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
	/** Decisions whose input state is older than the states that were kept, or whose record lacks the inputs of the scores. */
	skipped: number;
	differences: readonly ReplayDifference[];
}>;

/** Entries decide on states at most a few seconds old; this covers 10 s at the log's rate of several hundred appends. */
const KEPT_STATES = 8192;

/** A replay that takes records page by page. */
export type Replay = Readonly<{
	/** Applies the next records in log order. */
	add: (records: readonly LoggedRecord[]) => void;
	report: () => ReplayReport;
}>;

/**
Starts a replay: every placement decision among the records is made again on the state that it names and compared.

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
				if (states.size > KEPT_STATES) {
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
Replays records that are all at hand.

@example
replayRecords(records, functions).differences;
// => [] when every decision comes out as it was recorded
*/
export function replayRecords(records: readonly LoggedRecord[], functions: ReplayFunctions): ReplayReport {
	const replay = startReplay(functions);
	replay.add(records);
	return replay.report();
}

function compareDecision(offset: number, claim: TaskClaimed, replayed: ReturnType<ReplayFunctions['decide']>): readonly ReplayDifference[] {
	const recordedFields = fieldsOf(claim.vmId, claim.decision);
	const replayedFields = replayed === undefined ? undefined : fieldsOf(replayed.vmId, replayed.decision);
	return Object.entries(recordedFields)
		.map(([field, recorded]) => ({
			offset, taskId: claim.taskId, field, recorded, replayed: replayedFields?.[field] ?? 'no placement',
		}))
		.filter(difference => difference.recorded !== difference.replayed)
		// A decision that placed nothing differs in every field; one line says so.
		.slice(0, replayedFields === undefined ? 1 : undefined);
}

function fieldsOf(vmId: string, decision: PlacementDecision): Readonly<Record<string, string>> {
	return {
		vmId,
		candidates: decision.candidates.map(({vmId: id, scoreMilli, harmMilli}) => `${id} score ${scoreMilli} harm ${harmMilli}`).join(', '),
		consideredVms: String(decision.consideredVms),
	};
}
