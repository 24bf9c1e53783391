import {type ClusterRecord, type ClusterRecordOf} from './cluster-record.js';
import {type ClusterState} from './cluster-state.js';

/** Offset of a record in the log and incarnation of the entry that wrote it. */
export type RecordContext = Readonly<{offset: number; writerIncarnation: string}>;

/** The record type of each kind. */
export type RecordByKind = {readonly [Kind in ClusterRecord['kind']]: ClusterRecordOf<Kind>};

/** Applies one kind of record. Returns the state unchanged when the record is not acceptable, for example because it is late. */
export type RecordHandler<Kind extends ClusterRecord['kind']>
	= (state: ClusterState, record: RecordByKind[Kind], context: RecordContext) => ClusterState;

/** A handler for each of the given kinds. */
export type RecordHandlers<Kind extends ClusterRecord['kind'] = ClusterRecord['kind']> = {
	readonly [K in Kind]: RecordHandler<K>;
};
