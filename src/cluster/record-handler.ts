import {type ClusterRecord, type ClusterRecordOf} from './cluster-record.js';
import {type ClusterState} from './cluster-state.js';

/** Where a record stands in the log and who wrote it. */
export type RecordContext = Readonly<{offset: number; writerIncarnation: string}>;

/** The record type of each kind. */
export type RecordByKind = {readonly [Kind in ClusterRecord['kind']]: ClusterRecordOf<Kind>};

/** Applies one kind of record; a record that is not acceptable leaves the state as it is. */
export type RecordHandler<Kind extends ClusterRecord['kind']>
	= (state: ClusterState, record: RecordByKind[Kind], context: RecordContext) => ClusterState;

/** A handler for each of the given kinds. */
export type RecordHandlers<Kind extends ClusterRecord['kind'] = ClusterRecord['kind']> = {
	readonly [K in Kind]: RecordHandler<K>;
};
