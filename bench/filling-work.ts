import {z} from 'zod';
import {UsageError} from '../src/operator/usage-error.js';
import {type FillingSite, fillingSites} from './filling-site.js';
import {playFillingDay, type FillingResult} from './play-filling-day.js';
import {printFigures} from './print-figures.js';

const optionsSchema = z.object({
	site: z.enum(['small', 'grown', 'heavy']).default('small'),
	seeds: z.coerce.number().int().positive().default(20),
	firstSeed: z.coerce.number().int().min(0).default(1),
	load: z.coerce.number().positive().default(1),
	heavyShare: z.coerce.number().min(0).max(1).optional(),
	heavyPress: z.coerce.number().positive().default(1),
	planning: z.boolean().default(false),
	total: z.boolean().default(false),
});

const averaged = [
	'fillingEarned', 'servingEarned', 'servingLost', 'overSeconds', 'lostSeconds', 'longestLostSeconds', 'brokenRules', 'usedShare', 'fillingShare', 'moves', 'meanPace', 'finishedJobs', 'fillingJobs', 'fillingInTime', 'largeFillingInTime', 'smallInTime', 'meanLimitMilli',
] as const satisfies ReadonlyArray<keyof FillingResult>;

/**
Simulates filling work and serving tasks on the same VMs and prints the figures of each seed and their means.

@example
await runFillingWork({site: 'grown', seeds: 50});
*/
export async function runFillingWork(given: Readonly<Record<string, unknown>>): Promise<void> {
	const parsed = optionsSchema.safeParse(given);
	if (!parsed.success) {
		throw new UsageError(`${z.prettifyError(parsed.error)}; remedy: see npm run bench -- filling --help`);
	}

	const options = parsed.data;
	const site = siteOf(fillingSites[options.site], options);
	const results: FillingResult[] = [];
	for (let seed = options.firstSeed; seed < options.firstSeed + options.seeds; seed++) {
		const result = playFillingDay(site, seed, {planning: options.planning});
		results.push(result);
		if (!options.total) {
			printFigures({site: options.site, ...result});
		}
	}

	printFigures({site: options.site, seeds: results.length, ...meansOf(results)});
}

/** Returns the site with `load` as a factor on the arrivals of filling jobs and `heavyPress` as a factor on the interference of heavy pairs of images. */
function siteOf(site: FillingSite, {load, heavyShare, heavyPress}: z.infer<typeof optionsSchema>): FillingSite {
	const [least, most] = site.interference.heavy;
	return {
		...site,
		filling: {...site.filling, jobsPerSecond: load * site.filling.jobsPerSecond},
		interference: {...site.interference, heavyShare: heavyShare ?? site.interference.heavyShare, heavy: [heavyPress * least, heavyPress * most]},
	};
}

function meansOf(results: readonly FillingResult[]): Readonly<Record<string, number>> {
	return Object.fromEntries(averaged.map(name => [name, results.reduce((sum, result) => sum + result[name], 0) / results.length]));
}
