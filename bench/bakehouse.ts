import {runWorkload} from './workload.js';

/** Runs the bakehouse workload: 16-core workers, a 250 ms latency target, four batch tasks of two cores to a VM. */
export async function runBakehouse(): Promise<void> {
	await runWorkload({
		settingsFile: 'examples/bakehouse.yaml',
		seed: 41,
		serviceTimeMs: 150,
		taskProcessorsMilli: 2000,
		tasksPerHalfSecond: {urgent: 1, normal: 3, background: 2},
	});
}
