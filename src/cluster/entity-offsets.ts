import {type ClusterState} from './cluster-state.js';

/** The kinds of entities that a plan may touch. */
export type EntityKind = 'service' | 'backend-server' | 'vm' | 'failure-domain' | 'job' | 'quota' | 'setting';

/**
Names an entity as `touches` and the state's `entityOffsets` do.

@example
entityName('service', 'loaf-ordering'); // => 'service/loaf-ordering'
*/
export function entityName(kind: EntityKind, id: string): string {
	return `${kind}/${id}`;
}

/**
Remembers that entities changed at `offset`, so that plans computed earlier are rejected.

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
Forgets when an entity changed, once the entity itself is forgotten.

@example
removeEntityOffset(state, 'job/job-1').entityOffsets.has('job/job-1'); // => false
*/
export function removeEntityOffset(state: ClusterState, name: string): ClusterState {
	return {...state, entityOffsets: state.entityOffsets.delete(name)};
}
