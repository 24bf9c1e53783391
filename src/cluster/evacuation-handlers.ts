import {type ClusterState, type Configuration} from './cluster-state.js';
import {entityName, markChanged} from './entity-offsets.js';
import {type RecordHandlers} from './record-handler.js';
import {MAX_REMOVED_EVACUATIONS} from './state-limits.js';

/** Removes the evacuations that were removed first when there are more than `MAX_REMOVED_EVACUATIONS` of them. */
function withoutOldestRemoved(evacuations: Configuration['evacuations']): Configuration['evacuations'] {
	const removed = [...evacuations].filter(([, {isRequested}]) => !isRequested);
	return removed.length <= MAX_REMOVED_EVACUATIONS
		? evacuations
		: evacuations.deleteAll(removed
			.toSorted(([leftName, left], [rightName, right]) => left.requestOffset - right.requestOffset || (leftName < rightName ? -1 : 1))
			.slice(0, removed.length - MAX_REMOVED_EVACUATIONS)
			.map(([failureDomain]) => failureDomain));
}

/**
Handles the operator's evacuations. Several entries write the record of a request, some with an old view of the operator's topic, so that only a
higher `requestOffset` than the recorded one takes effect.
*/
export const evacuationHandlers: RecordHandlers<'failure-domain-evacuation'> = {
	'failure-domain-evacuation'(state, {failureDomain, isRequested, requestOffset, noticedAtMs = 0}, {offset}) {
		const {configuration} = state;
		const held = configuration.evacuations.get(failureDomain);
		if (requestOffset <= (held?.requestOffset ?? -1)) {
			return state;
		}

		if (held?.isRequested === isRequested) {
			return withEvacuations(state, configuration.evacuations.set(failureDomain, {...held, requestOffset}));
		}

		const evacuations = configuration.evacuations.set(failureDomain, {
			isRequested, requestOffset, offset, noticedAtMs, refusedClaims: 0,
		});
		// The configuration's offset rises, since agents apply only higher ones.
		return markChanged(
			{...state, configuration: {...configuration, offset, evacuations: withoutOldestRemoved(evacuations)}},
			offset,
			[entityName('failure-domain', failureDomain)],
		);
	},
};

function withEvacuations(state: ClusterState, evacuations: Configuration['evacuations']): ClusterState {
	return {...state, configuration: {...state.configuration, evacuations}};
}
