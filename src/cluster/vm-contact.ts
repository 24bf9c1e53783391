import {type EntryMember, type Vm} from './cluster-state.js';

/** What the log tells of how the entries that heard an agent incarnation have left `heardBy`. It bounds how long the agent may still run leased tasks. */
export type VmContact = Readonly<{
	/** False when an entry left in a way that bounds nothing, or when the incarnation was registered before entries recorded this. */
	isBounded: boolean;
	/** Time after the sending of its newest answered heartbeat at which the agent stops leased tasks; left out by agents that do not. */
	limitMs?: number | undefined;
	/** Shortest time without a message after which an entry withdrew. */
	silenceMs?: number | undefined;
	/** Offset of the newest withdrawal. */
	withdrawnOffset?: number | undefined;
	/** Offset at which the newest entry was declared ended that may not know it and may go on answering the agent. */
	endedOffset?: number | undefined;
}>;

/** The contact of an incarnation that has just registered. */
export const newContact: VmContact = {isBounded: true};

/** The contact of an incarnation about which nothing is known. */
export const unboundedContact: VmContact = {isBounded: false};

/**
Removes an entry that withdrew from a VM's hearers. Without `withdrawsAfterMs`, the entry may go on granting leases.

@example
withdrawHearer(vm, {incarnation: 'a81f…', withdrawsAfterMs: 3000}, 17).contact.silenceMs; // => 3000
*/
export function withdrawHearer(vm: Vm, {incarnation, withdrawsAfterMs}: Pick<EntryMember, 'incarnation' | 'withdrawsAfterMs'>, offset: number): Vm {
	if (!vm.heardBy.has(incarnation)) {
		return vm;
	}

	const heardBy = vm.heardBy.delete(incarnation);
	if (vm.phase !== 'live') {
		return {...vm, heardBy};
	}

	return withdrawsAfterMs === undefined
		? {...vm, heardBy, contact: unboundedContact}
		: {
			...vm, heardBy, contact: {
				...vm.contact, silenceMs: Math.min(withdrawsAfterMs, vm.contact.silenceMs ?? withdrawsAfterMs), withdrawnOffset: offset,
			},
		};
}

/**
Removes an entry that was declared ended from a VM's hearers. An entry without `withdrawsAfterMs` may have granted leases without being listed.

@example
removeEndedHearer(vm, {incarnation: 'a81f…', withdrawsAfterMs: 3000}, 17).contact.endedOffset; // => 17
*/
export function removeEndedHearer(vm: Vm, {incarnation, withdrawsAfterMs}: Pick<EntryMember, 'incarnation' | 'withdrawsAfterMs'>, offset: number): Vm {
	const heardBy = vm.heardBy.delete(incarnation);
	if (vm.phase !== 'live') {
		return {...vm, heardBy, contact: withdrawsAfterMs === undefined ? unboundedContact : vm.contact};
	}

	return vm.heardBy.has(incarnation) || withdrawsAfterMs === undefined ? {...vm, heardBy, contact: {...vm.contact, endedOffset: offset}} : vm;
}
