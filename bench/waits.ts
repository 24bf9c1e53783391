import {z} from 'zod';
import {UsageError} from '../src/operator/usage-error.js';
import {playWaitingDay, type WaitingResult} from './play-waiting-day.js';
import {printFigures} from './print-figures.js';

const optionsSchema = z.object({
	seeds: z.coerce.number().int().positive().default(20),
	firstSeed: z.coerce.number().int().min(0).default(1),
	floods: z.boolean().default(true),
	events: z.boolean().default(true),
	details: z.boolean().default(false),
});

/** Number of tasks with a forbidden wait, by kind of wait. */
type Counts = Readonly<{onVms: number; inPieces: number; heldOnLostVm: number; idleJobs: number}>;

/**
Simulates one run for each seed and prints the number of tasks whose wait the platform forbids: with enough free resources on single VMs, or
only on several VMs together; tasks that a claim on a lost VM holds; and tasks of jobs that are idle after the traffic. Then prints totals, with the
number of seeds that have such tasks.

@example
await runWaits({seeds: 300});
*/
export async function runWaits(given: Readonly<Record<string, unknown>>): Promise<void> {
	const parsed = optionsSchema.safeParse(given);
	if (!parsed.success) {
		throw new UsageError(`${z.prettifyError(parsed.error)}; remedy: see npm run bench -- waits --help`);
	}

	const {seeds, firstSeed, floods, events, details} = parsed.data;
	const counted: Array<Readonly<{counts: Counts; result: WaitingResult}>> = [];
	for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
		const result = playWaitingDay(seed, {withoutFloods: !floods, withoutEvents: !events});
		const counts = countWaits(result);
		counted.push({counts, result});
		const {forbidden, ...figures} = result;
		printFigures({...figures, ...counts});
		for (const wait of details ? forbidden : []) {
			printFigures({seed, ...wait, isHeld: String(wait.isHeld)});
		}
	}

	const seedsWith = (name: keyof Counts) => counted.filter(({counts}) => counts[name] > 0).length;
	const meanOf = (name: 'shortInTime' | 'longestLastingWaitMs' | 'meanCommittedShare' | 'failedJobs') => counted.reduce((sum, {result}) => sum + result[name], 0) / counted.length;
	printFigures({
		seeds,
		seedsOnVms: seedsWith('onVms'),
		seedsInPieces: seedsWith('inPieces'),
		seedsHeldOnLostVm: seedsWith('heldOnLostVm'),
		seedsWithIdleJobs: seedsWith('idleJobs'),
		tasksOnVms: counted.reduce((sum, {counts}) => sum + counts.onVms, 0),
		tasksInPieces: counted.reduce((sum, {counts}) => sum + counts.inPieces, 0),
		shortInTime: meanOf('shortInTime'),
		longestLastingWaitMs: meanOf('longestLastingWaitMs'),
		meanCommittedShare: meanOf('meanCommittedShare'),
		failedJobs: meanOf('failedJobs'),
	});
}

function countWaits({forbidden}: WaitingResult): Counts {
	const tasksWith = (isCounted: (wait: WaitingResult['forbidden'][number]) => boolean) => new Set(forbidden.filter(wait => isCounted(wait)).map(({taskId}) => taskId)).size;
	return {
		onVms: tasksWith(({capacity}) => capacity === 'on-vms'),
		inPieces: tasksWith(({capacity}) => capacity === 'in-pieces'),
		heldOnLostVm: tasksWith(({isHeld}) => isHeld),
		idleJobs: tasksWith(({rule}) => rule === 'idle-job-after-traffic'),
	};
}
