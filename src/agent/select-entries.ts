/**
Returns the entries to which an agent maintains a stream: the best ones, until their usefulness adds up to `count`. An entry with usefulness 0
does not count, so that the next ones replace it while the agent still tries to reach it.

@param rankedAddresses addresses of all entries, best first.

@example
selectEntries(['10.1.0.13:7720', '10.2.0.30:7720', '10.3.0.36:7720'], {count: 1, usefulnessOf: address => address.startsWith('10.1.') ? 0 : 1});
// => ['10.1.0.13:7720', '10.2.0.30:7720']
*/
export function selectEntries(
	rankedAddresses: readonly string[],
	{count, usefulnessOf}: Readonly<{count: number; usefulnessOf: (entryAddress: string) => number}>,
): readonly string[] {
	let usefulness = 0;
	const beyond = rankedAddresses.findIndex(address => {
		const isBeyond = usefulness >= count;
		usefulness += usefulnessOf(address);
		return isBeyond;
	});
	return beyond === -1 ? rankedAddresses : rankedAddresses.slice(0, beyond);
}
