import {setTimeout as delay} from 'node:timers/promises';
import {type Fault, type RandomInt} from './faults.js';
import {type EvacuationPeriod} from './outcome.js';
import {type Site, type SiteAgent} from './site.js';

const minEvacuations = 1;
const maxEvacuations = 3;

/** Evacuations begin within this time: beside the other faults, which begin within 6 s, and behind them. */
const beginsWithinMs = 10_000;

/** Length of an evacuation. Beside other faults starts are forbidden only from 11 s after the request, and some time must be left to see one. */
const minDurationMs = 13_000;
const maxDurationMs = 18_000;

/** Time for which new jobs are submitted, so that there are tasks to start while evacuations stand. */
export const evacuationsMs = beginsWithinMs + maxDurationMs;

/** Share of the requests that are removed and written again soon after: one in this many. */
const rewrittenRatio = 3;

/**
Plans evacuations of the failure domains of agents. Each request and its removal are added to `periods` as the store takes them.

@example
const evacuations = planEvacuations(site, {randomInt, periods: []});
*/
export function planEvacuations(site: Site, {randomInt, periods}: Readonly<{randomInt: RandomInt; periods: EvacuationPeriod[]}>): readonly Fault[] {
	const evacuated = new Set<string>();

	async function evacuate({failureDomain, executorId}: SiteAgent, durationMs: number): Promise<void> {
		site.evacuate(failureDomain, true);
		const fromMs = performance.now();
		const index = periods.push({executorId, fromMs, untilMs: Number.POSITIVE_INFINITY}) - 1;
		await delay(durationMs);
		periods[index] = {executorId, fromMs, untilMs: performance.now()};
		site.evacuate(failureDomain, false);
	}

	return Array.from({length: randomInt(minEvacuations, maxEvacuations)}, () => {
		const agent = site.agents[randomInt(0, site.agents.length - 1)]!;
		const [atMs, durationMs, pauseMs] = [randomInt(0, beginsWithinMs), randomInt(minDurationMs, maxDurationMs), randomInt(50, 1500)];
		const isRewritten = randomInt(1, rewrittenRatio) === 1;
		return {
			atMs,
			description: `evacuation of ${agent.failureDomain} for ${durationMs} ms${isRewritten ? `, removed and written again after ${pauseMs} ms` : ''}`,
			async inject() {
				// Two requests for one failure domain would be one.
				if (evacuated.has(agent.failureDomain)) {
					return;
				}

				evacuated.add(agent.failureDomain);
				if (isRewritten) {
					await evacuate(agent, Math.floor(durationMs / rewrittenRatio));
					await delay(pauseMs);
				}

				await evacuate(agent, durationMs);
				evacuated.delete(agent.failureDomain);
			},
		};
	});
}
