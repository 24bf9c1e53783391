/** Most processors of a VM, in millicores. */
export const maxProcessorsMilli = 1_024_000;

/**
Returns the part of the VM's processors that the process may use, in millicores; at least 1 and at most `maxProcessorsMilli`.

@example
processorsMilliOf({processors: 2, processorShare: 0.675}); // => 1350
*/
export function processorsMilliOf({processors, processorShare}: Readonly<{processors: number; processorShare: number}>): number {
	return Math.min(maxProcessorsMilli, Math.max(1, Math.round(1000 * processors * processorShare)));
}
