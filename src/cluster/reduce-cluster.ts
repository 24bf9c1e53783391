import {
	type OrderedMap, Map as immutableMap, OrderedMap as orderedMap, OrderedSet as orderedSet, Set as immutableSet,
} from 'immutable';
import {type LoggedRecord} from '../log/log-envelope.js';
import {backendServerHandlers} from './backend-server-handlers.js';
import {type ClusterRecord} from './cluster-record.js';
import {type ClusterState} from './cluster-state.js';
import {entryHandlers} from './entry-handlers.js';
import {evacuationHandlers} from './evacuation-handlers.js';
import {type PriorityClass} from './intent.js';
import {keyHandlers} from './key-handlers.js';
import {planHandlers} from './plan-handlers.js';
import {type RecordByKind, type RecordContext, type RecordHandlers} from './record-handler.js';
import {taskHandlers} from './task-handlers.js';
import {workflowHandlers} from './workflow-handlers.js';
import {vmHandlers} from './vm-handlers.js';

/** The state before the first record. */
export const emptyClusterState: ClusterState = {
	offset: -1,
	entries: immutableMap(),
	endedIncarnations: orderedSet(),
	sequences: immutableMap(),
	vms: immutableMap(),
	expiredVmIds: orderedSet(),
	vmOffers: orderedMap(),
	backendServers: immutableMap(),
	goneBackendServerIds: orderedSet(),
	tasks: immutableMap(),
	queued: immutableMap<PriorityClass, OrderedMap<string, true>>([
		['urgent', orderedMap<string, true>()],
		['normal', orderedMap<string, true>()],
		['background', orderedMap<string, true>()],
	]),
	jobs: immutableMap(),
	unfinishedTasksByJob: immutableMap(),
	finishedJobs: orderedMap(),
	finishedTaskCount: 0,
	workflows: immutableMap(),
	finishedWorkflows: orderedMap(),
	earlyCancellations: orderedMap(),
	earlyCancellationsForgottenThroughOffset: -1,
	committedByTeam: immutableMap(),
	keys: orderedMap(),
	keysForgottenThroughOffset: -1,
	configuration: {
		offset: -1,
		services: immutableMap(),
		quotas: immutableMap(),
		requestLimits: {
			queuedRequestsPerService: 256,
			queueTimeoutMs: 2000,
			retryBudgetMilli: 100,
			shareByClass: {urgent: 8, normal: 4, background: 1},
			floorMilliByClass: {urgent: 100, normal: 100, background: 50},
		},
		weights: {
			tailLatencyMilli: 1000, batchThroughputMilli: 1000, evictionsMilli: 1000, floodMilli: 1000,
		},
		drainingVmIds: immutableSet(),
		drainingFailureDomains: immutableSet(),
		drainingBackendServerIds: immutableSet(),
		evacuations: immutableMap(),
	},
	planDecisions: orderedMap(),
	entityOffsets: immutableMap(),
};

const handlers: RecordHandlers = {
	...entryHandlers,
	...vmHandlers,
	...backendServerHandlers,
	...taskHandlers,
	...workflowHandlers,
	...keyHandlers,
	...planHandlers,
	...evacuationHandlers,
};

/** A record whose handler threw. */
export type RecordFailure = Readonly<{offset: number; kind: ClusterRecord['kind']; error: unknown}>;

/** Called with a record whose handler threw; without it, the error is thrown to the caller. */
export type OnRecordFailure = (failure: RecordFailure) => void;

function dispatch<Kind extends ClusterRecord['kind']>(
	kind: Kind,
	state: ClusterState,
	record: RecordByKind[Kind],
	context: RecordContext,
): ClusterState {
	return handlers[kind](state, record, context);
}

/** Applies a record to a state that has accepted it. When its handler throws, the record changes nothing else, on every entry alike. */
function applyAccepted(state: ClusterState, {offset, envelope: {incarnation, record}}: LoggedRecord, onFailure: OnRecordFailure | undefined): ClusterState {
	try {
		return dispatch(record.kind, state, record, {offset, writerIncarnation: incarnation});
	} catch (error) {
		if (onFailure === undefined) {
			throw error;
		}

		onFailure({offset, kind: record.kind, error});
		return state;
	}
}

/**
Applies one logged record. The function is pure: a record that is not acceptable changes nothing but `offset`. With `onFailure` it is total: a record
whose handler throws is reported and changes nothing but `offset` and the writer's sequence.

Records at or below `state.offset` are ignored, so pages may overlap. A record of a writer incarnation is accepted only when its
sequence is higher than that of the last accepted one: a writer has one batch in flight and resends it unchanged, so a lower
sequence is a late duplicate, and a gap means that the writer dropped records before it sent them. Records of an incarnation are
accepted from its `entry-registered` record until the incarnation is ended.

@example
const next = applyRecord(emptyClusterState, {
	offset: 0,
	envelope: {
		writer: 'entry-1',
		incarnation: 'e5f0',
		sequence: 1,
		record: {kind: 'entry-registered', entryId: 'entry-1', failureDomain: 'a', operatorAddress: '127.0.0.1:7001'},
	},
});
next.entries.get('e5f0').entryId; // => 'entry-1'
*/
export function applyRecord(state: ClusterState, logged: LoggedRecord, onFailure?: OnRecordFailure): ClusterState {
	const {offset, envelope: {incarnation, sequence, record}} = logged;
	if (offset <= state.offset) {
		return state;
	}

	const isRegistered = state.entries.has(incarnation) || (record.kind === 'entry-registered' && !state.endedIncarnations.has(incarnation));
	if (!isRegistered || sequence <= (state.sequences.get(incarnation) ?? 0)) {
		return {...state, offset};
	}

	const member = state.entries.get(incarnation);
	return applyAccepted({
		...state,
		offset,
		sequences: state.sequences.set(incarnation, sequence),
		entries: member ? state.entries.set(incarnation, {...member, lastOffset: offset}) : state.entries,
	}, logged, onFailure);
}

/** Sequence and offset of the newest accepted record of a writer. */
type AcceptedRecord = Readonly<{sequence: number; offset: number}>;

/** Kinds of records whose handlers read or change `entries` and `sequences`. */
const entryRecordKinds: ReadonlySet<string> = new Set(Object.keys(entryHandlers));

/**
Applies the records of a page in log order, with the same result as `applyRecord` for each. For speed, `entries` and `sequences` are
updated once a page instead of once a record, and before records about entries.

@example
const next = applyRecords(state, page.records, ({offset, error}) => report(offset, error));
*/
export function applyRecords(state: ClusterState, records: readonly LoggedRecord[], onFailure?: OnRecordFailure): ClusterState {
	let next = state;
	const lastAcceptedByWriter = new Map<string, AcceptedRecord>();
	for (const logged of records) {
		const {offset, envelope: {incarnation, sequence, record}} = logged;
		if (offset <= next.offset) {
			continue;
		}

		if (entryRecordKinds.has(record.kind)) {
			next = applyRecord(recordAccepted(next, lastAcceptedByWriter), logged, onFailure);
			lastAcceptedByWriter.clear();
			continue;
		}

		const lastAcceptedSequence = lastAcceptedByWriter.get(incarnation)?.sequence
			?? (next.entries.has(incarnation) ? next.sequences.get(incarnation) ?? 0 : Number.POSITIVE_INFINITY);
		next = {...next, offset};
		if (sequence > lastAcceptedSequence) {
			lastAcceptedByWriter.set(incarnation, {sequence, offset});
			next = applyAccepted(next, logged, onFailure);
		}
	}

	return recordAccepted(next, lastAcceptedByWriter);
}

function recordAccepted(state: ClusterState, lastAcceptedByWriter: ReadonlyMap<string, AcceptedRecord>): ClusterState {
	if (lastAcceptedByWriter.size === 0) {
		return state;
	}

	return {
		...state,
		sequences: state.sequences.withMutations(sequences => {
			for (const [incarnation, {sequence}] of lastAcceptedByWriter) {
				sequences.set(incarnation, sequence);
			}
		}),
		entries: state.entries.withMutations(entries => {
			for (const [incarnation, {offset}] of lastAcceptedByWriter) {
				const member = entries.get(incarnation);
				if (member) {
					entries.set(incarnation, {...member, lastOffset: offset});
				}
			}
		}),
	};
}
