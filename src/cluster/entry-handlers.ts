import {type ClusterState} from './cluster-state.js';
import {noReadLag, recordEntryHeartbeat} from './read-lag.js';
import {type RecordHandlers} from './record-handler.js';
import {MAX_ENDED_INCARNATIONS} from './state-limits.js';

/** Processors of an entry that did not record them, in thousandths. */
const unknownProcessorsMilli = 1000;

/** Forgets a writer's incarnation, so that its later records and its reports of the agents that it hears no longer count. */
function endIncarnation(state: ClusterState, incarnation: string): ClusterState {
	const ended = state.endedIncarnations.add(incarnation);
	return {
		...state,
		entries: state.entries.delete(incarnation),
		sequences: state.sequences.delete(incarnation),
		endedIncarnations: ended.size > MAX_ENDED_INCARNATIONS ? ended.delete(ended.first()!) : ended,
		vms: state.vms.withMutations(vms => {
			for (const vm of state.vms.values()) {
				if (vm.heardBy.has(incarnation)) {
					vms.set(vm.vmId, {...vm, heardBy: vm.heardBy.delete(incarnation)});
				}
			}
		}),
	};
}

/** Records about the entries themselves. */
export const entryHandlers: RecordHandlers<'entry-registered' | 'entry-alive' | 'entry-ended'> = {
	'entry-registered'(state, record, {offset, writerIncarnation}) {
		if (state.entries.has(writerIncarnation)) {
			return state;
		}

		// An entry that starts again replaces its former incarnation, which would otherwise hold up revocations until its time-out.
		let next = state;
		for (const former of state.entries.values()) {
			if (former.entryId === record.entryId) {
				next = endIncarnation(next, former.incarnation);
			}
		}

		return {
			...next,
			entries: next.entries.set(writerIncarnation, {
				entryId: record.entryId,
				incarnation: writerIncarnation,
				failureDomain: record.failureDomain,
				operatorAddress: record.operatorAddress,
				processorsMilli: record.processorsMilli ?? unknownProcessorsMilli,
				lastOffset: offset,
				appliedOffset: offset - 1,
			}),
		};
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
	'entry-ended'(state, record) {
		return state.endedIncarnations.has(record.incarnation) ? state : endIncarnation(state, record.incarnation);
	},
};
