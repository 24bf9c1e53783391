import {type ClusterState} from './cluster-state.js';

/** The kinds of entities that a plan may touch. */
export type EntityKind = 'service' | 'backend-server' | 'vm' | 'failure-domain' | 'job' | 'quota' | 'setting';

/**
Returns the name of an entity in a plan's `touches` and in the state's `entityOffsets`.

@example
entityName('service', 'loaf-ordering'); // => 'service/loaf-ordering'
*/
export function entityName(kind: EntityKind, id: string): string {
	return `${kind}/${id}`;
}

/**
Records that entities changed at `offset`, so that plans that touch them and were computed earlier are rejected.

@example
markChanged(state, 17, ['vm/vm-1']).entityOffsets.get('vm/vm-1'); // => 17
*/
export function markChanged(state: ClusterState, offset: number, names: readonly string[]): ClusterState {
	return {
		...state,
		entityOffsets: state.entityOffsets.withMutations(offsets => {
			for (const name of names) {
				offsets.set(name, offset);
			}
		}),
	};
}

/**
Removes the offset of an entity that is removed from the state.

@example
removeEntityOffset(state, 'job/job-1').entityOffsets.has('job/job-1'); // => false
*/
export function removeEntityOffset(state: ClusterState, name: string): ClusterState {
	return {...state, entityOffsets: state.entityOffsets.delete(name)};
}
