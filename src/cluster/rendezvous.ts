import {createHash} from 'node:crypto';

/** Returns the first 48 bits of the hash of a member and a key; a JavaScript number represents them exactly. */
function weight(member: string, key: string): number {
	return createHash('sha1').update(`${member}\n${key}`).digest().readUIntBE(0, 6);
}

/**
Ranks members for a key by rendezvous hash, best first. When a member leaves, only the keys that it owned move.
The order of `members` does not matter.

@example
rankByRendezvous(['entry-1', 'entry-2', 'entry-3'], 'job-17'); // => all three, in an order that every process computes alike
*/
export function rankByRendezvous(members: Iterable<string>, key: string): readonly string[] {
	return [...new Set(members)]
		.map(member => ({member, weight: weight(member, key)}))
		.toSorted((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
		.map(({member}) => member);
}

/**
Returns the member that owns a key, or `undefined` when there are no members: the first of `rankByRendezvous`.

@example
ownerByRendezvous(['entry-1'], 'job-17'); // => 'entry-1'
*/
export function ownerByRendezvous(members: Iterable<string>, key: string): string | undefined {
	let owner: string | undefined;
	let best = -1;
	for (const member of members) {
		const memberWeight = weight(member, key);
		if (memberWeight > best || (memberWeight === best && owner !== undefined && member < owner)) {
			owner = member;
			best = memberWeight;
		}
	}

	return owner;
}
