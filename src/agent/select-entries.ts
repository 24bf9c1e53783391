/**
Picks the entries that an agent keeps a stream to: the best ones until their use adds up to `count`. An entry that is of no use now
does not count, so that the next ones stand in for it while it is tried on.

@param rankedAddresses addresses of all entries, best first.

@example
selectEntries(['10.1.0.13:7720', '10.2.0.30:7720', '10.3.0.36:7720'], {count: 1, useOf: address => address.startsWith('10.1.') ? 0 : 1});
// => ['10.1.0.13:7720', '10.2.0.30:7720']
*/
export function selectEntries(
	rankedAddresses: readonly string[],
	{count, useOf}: Readonly<{count: number; useOf: (entryAddress: string) => number}>,
): readonly string[] {
	let use = 0;
	const beyond = rankedAddresses.findIndex(address => {
		const isBeyond = use >= count;
		use += useOf(address);
		return isBeyond;
	});
	return beyond === -1 ? rankedAddresses : rankedAddresses.slice(0, beyond);
}
