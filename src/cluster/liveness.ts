import {type ClusterState, type EntryMember, type Vm} from './cluster-state.js';

/**
Returns the incarnations of the registered entries that were not declared ended.

@example
liveEntryIncarnations(state); // => ['a81f…', 'c02e…']
*/
export function liveEntryIncarnations(state: ClusterState): readonly string[] {
	return [...state.entries.values()].map((entry: EntryMember) => entry.incarnation);
}

/**
Returns whether an agent incarnation is the current one of its VM and the VM is live. Only such an agent may hold leases and accept work.

@example
isLiveAgent(state, 'vm-1', 'f3a9…'); // => true
*/
export function isLiveAgent(state: ClusterState, vmId: string, agentIncarnation: string): boolean {
	const vm: Vm | undefined = state.vms.get(vmId);
	return vm?.agentIncarnation === agentIncarnation && vm.phase === 'live';
}
