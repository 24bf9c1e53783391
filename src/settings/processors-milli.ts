/**
Returns the part of the VM's processors that the process may use, in millicores; at least 1.

@example
processorsMilliOf({processors: 2, processorShare: 0.675}); // => 1350
*/
export function processorsMilliOf({processors, processorShare}: Readonly<{processors: number; processorShare: number}>): number {
	return Math.max(1, Math.round(1000 * processors * processorShare));
}
