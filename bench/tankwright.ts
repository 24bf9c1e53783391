import {runWorkload} from './workload.js';

/** Runs the tankwright workload: 32-core workers, a 100 ms latency target, six batch tasks of four cores to a VM. */
export async function runTankwright(): Promise<void> {
	await runWorkload({
		settingsFile: 'examples/tankwright.yaml',
		seed: 42,
		serviceTimeMs: 60,
		taskProcessorsMilli: 4000,
		tasksPerHalfSecond: {urgent: 2, normal: 4, background: 3},
	});
}
