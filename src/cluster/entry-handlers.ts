import {type ClusterState} from './cluster-state.js';
import {noReadLag, recordEntryHeartbeat} from './read-lag.js';
import {type RecordHandlers} from './record-handler.js';
import {MAX_ENDED_INCARNATIONS} from './state-limits.js';
import {removeEndedHearer} from './vm-contact.js';

/** Processors of an entry whose version does not record them, in thousandths. */
const defaultProcessorsMilli = 1000;

/** Ends an entry's incarnation. Its later records are ignored, and it no longer counts as an entry that receives messages of agents. */
function endIncarnation(state: ClusterState, incarnation: string, offset: number): ClusterState {
	const member = state.entries.get(incarnation);
	const ended = state.endedIncarnations.add(incarnation);
	return {
		...state,
		entries: state.entries.delete(incarnation),
		sequences: state.sequences.delete(incarnation),
		endedIncarnations: ended.size > MAX_ENDED_INCARNATIONS ? ended.delete(ended.first()!) : ended,
		vms: state.vms.withMutations(vms => {
			for (const vm of state.vms.values()) {
				const next = member ? removeEndedHearer(vm, member, offset) : vm;
				if (next !== vm) {
					vms.set(vm.vmId, next);
				}
			}
		}),
	};
}

/** Handlers of records about the entries themselves. */
export const entryHandlers: RecordHandlers<'entry-registered' | 'entry-bounds-contact' | 'entry-alive' | 'entry-ended'> = {
	'entry-registered'(state, record, {offset, writerIncarnation}) {
		if (state.entries.has(writerIncarnation)) {
			return state;
		}

		// A restarted entry replaces its former incarnation, whose reports of reachable agents would otherwise delay revocations until it times out.
		let next = state;
		for (const former of state.entries.values()) {
			if (former.entryId === record.entryId) {
				next = endIncarnation(next, former.incarnation, offset);
			}
		}

		return {
			...next,
			entries: next.entries.set(writerIncarnation, {
				entryId: record.entryId,
				incarnation: writerIncarnation,
				failureDomain: record.failureDomain,
				operatorAddress: record.operatorAddress,
				processorsMilli: record.processorsMilli ?? defaultProcessorsMilli,
				lastOffset: offset,
				appliedOffset: offset - 1,
			}),
		};
	},
	'entry-bounds-contact'(state, {withdrawsAfterMs}, {writerIncarnation}) {
		const member = state.entries.get(writerIncarnation);
		return member ? {...state, entries: state.entries.set(writerIncarnation, {...member, withdrawsAfterMs})} : state;
	},
	'entry-alive'(state, {appliedOffset}, {offset, writerIncarnation}) {
		const member = state.entries.get(writerIncarnation);
		return member
			? {
				...state,
				entries: state.entries.set(writerIncarnation, {
					...member, appliedOffset, readLag: recordEntryHeartbeat(member.readLag ?? noReadLag, {offset, appliedOffset}),
				}),
			}
			: state;
	},
	'entry-ended'(state, record, {offset}) {
		return state.endedIncarnations.has(record.incarnation) ? state : endIncarnation(state, record.incarnation, offset);
	},
};
