import {type RecordHandlers} from './record-handler.js';

/** Handlers of records about the idempotency keys of requests. */
export const keyHandlers: RecordHandlers<'key-claimed' | 'key-released' | 'keys-expired'> = {
	'key-claimed'(state, record, {offset}) {
		const {kind, ...claim} = record;
		const vm = state.vms.get(record.vmId);
		// A claim for an agent incarnation that is not live is ignored. No request was sent for it, so the key stays free.
		return state.keys.has(record.keyHash) || vm?.phase !== 'live' || vm.agentIncarnation !== record.agentIncarnation
			? state
			: {...state, keys: state.keys.set(record.keyHash, {...claim, claimOffset: offset})};
	},
	'key-released'(state, {keyHash, claimOffset, agentIncarnation}) {
		const claim = state.keys.get(keyHash);
		// A late duplicate of this record names an older claim; the key may have been claimed for another agent since.
		return claim?.claimOffset === claimOffset && claim.agentIncarnation === agentIncarnation
			? {...state, keys: state.keys.delete(keyHash)}
			: state;
	},
	'keys-expired'(state, record, {offset}) {
		const throughOffset = Math.min(record.throughOffset, offset - 1);
		if (throughOffset <= state.keysForgottenThroughOffset) {
			return state;
		}

		// Keys are in the order of their claims, so the expired ones come first.
		const expired: string[] = [];
		for (const claim of state.keys.values()) {
			if (claim.claimOffset > throughOffset) {
				break;
			}

			expired.push(claim.keyHash);
		}

		return {...state, keys: state.keys.deleteAll(expired), keysForgottenThroughOffset: throughOffset};
	},
};
