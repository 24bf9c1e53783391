import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {type StoreFaults} from '../stand-ins/store-stand-in.js';
import {type FaultProxy, type LinkFault} from './fault-proxy.js';
import {planLosses, type LossKind} from './losses.js';
import {oddEntriesByCase} from './odd-entries.js';
import {graceMs, planConfigurations, planSignals} from './series.js';
import {type Site, type SiteAgent, type SiteEntry} from './site.js';

/** A fault from outside; `inject` resolves when it is over and what it ended runs again. */
export type Fault = Readonly<{
	atMs: number;
	description: string;
	/** Process whose open calls may end without an answer. */
	breaksCallsOf?: string;
	inject: () => Promise<void>;
}>;

/** What faults are injected into; a target that is taken is left alone by other faults until it is free. */
export type FaultTargets = Readonly<{isTaken: (target: unknown) => boolean; take: (target: unknown) => Promise<void>; free: (target: unknown) => void}>;

/** `losses` begin after all `faults` are over. */
export type FaultPlan = Readonly<{faults: readonly Fault[]; losses: readonly Fault[]}>;

/** Returns a number from `low` to `high`. */
export type RandomInt = (low: number, high: number) => number;

/** Faults begin within this time. */
export const faultsMs = 6000;

const minFaults = 4;
const maxFaults = 12;

/** Processes of a site for which this number of faults is drawn once more. */
const processesPerDraw = 8;

const takeCheckMs = 20;

const storeFaults: readonly StoreFaults[] = [{refuseWith: 503}, {refuseWith: 429}, {isSilent: true}, {losesAnswers: true}];

type Injection = Omit<Fault, 'atMs'>;

function createFaultTargets(): FaultTargets {
	const taken = new Set<unknown>();
	return {
		isTaken: target => taken.has(target),
		async take(target) {
			while (taken.has(target)) {
				await delay(takeCheckMs);
			}

			taken.add(target);
		},
		free(target) {
			taken.delete(target);
		},
	};
}

/**
Plans the faults of a seed. Faults of one process or link never overlap, but for series of signals to one process; those of different
ones may. `losses` adds such series and losses for good, `hasLateStarts` executors that carry out starts seconds late, `hasRecuts` executors that start
again under their IDs and are cut off soon after.

@example
const {faults} = planFaults(site, {randomInt, seed: 1});
*/
export function planFaults(site: Site, {randomInt, seed, losses, hasLateStarts = false, hasRecuts = false}: Readonly<{
	randomInt: RandomInt;
	seed: number;
	losses?: readonly LossKind[] | undefined;
	hasLateStarts?: boolean;
	hasRecuts?: boolean;
}>): FaultPlan {
	const pick = <Value>(values: readonly Value[]): Value => values[randomInt(0, values.length - 1)]!;
	const targets = createFaultTargets();

	/** Skips a fault while another one of the same target lasts. */
	function once(target: unknown, description: string, inject: () => Promise<void>, breaksCallsOf?: string): Injection {
		return {
			description,
			...(breaksCallsOf !== undefined && {breaksCallsOf}),
			async inject() {
				if (!targets.isTaken(target)) {
					await targets.take(target);
					await inject();
					targets.free(target);
				}
			},
		};
	}

	function pickProcess(): SiteEntry | SiteAgent {
		return pick<SiteEntry | SiteAgent>([...site.entries, ...site.agents]);
	}

	const planners: Readonly<Record<string, () => Injection>> = {
		link() {
			const {name, links} = pickProcess();
			const [linkName, link] = pick<readonly [string, FaultProxy]>(Object.entries(links));
			const fault = pick<LinkFault>([{kind: 'delay', delayMs: randomInt(50, 400)}, {kind: 'cut-to-target'}, {kind: 'cut-from-target'}, {kind: 'silence'}, {kind: 'reset'}]);
			const durationMs = randomInt(200, 4000);
			return once(link, `${fault.kind} between ${name} and its ${linkName} for ${durationMs} ms`, async () => {
				link.setFault(fault);
				await delay(durationMs);
				link.setFault({kind: 'none'});
			});
		},
		kill() {
			const target = pickProcess();
			const durationMs = randomInt(0, 2000);
			return once(target, `SIGKILL of ${target.name} for ${durationMs} ms`, async () => {
				target.kill();
				await delay(durationMs);
				await target.startAgain();
			}, target.name);
		},
		pause() {
			const target = pickProcess();
			const durationMs = randomInt(200, 3500);
			return once(target, `SIGSTOP of ${target.name} for ${durationMs} ms`, async () => {
				target.current().pause();
				await delay(durationMs);
				target.current().resume();
			}, target.name);
		},
		terminate() {
			const target = pickProcess();
			return once(target, `SIGTERM of ${target.name}`, async () => {
				target.terminate();
				await target.current().waitForExit(graceMs).catch(() => {
					target.kill();
				});
				await target.startAgain();
			});
		},
		store() {
			const faults = pick(storeFaults);
			const durationMs = randomInt(200, 3000);
			return once(site.store, `store ${JSON.stringify(faults)} for ${durationMs} ms`, async () => {
				site.store.setFaults(faults);
				await delay(durationMs);
				site.store.setFaults({});
			});
		},
		executor() {
			const {executor, executorId} = pick(site.agents);
			const durationMs = randomInt(200, 3000);
			return once(executor, `crash of ${executorId} for ${durationMs} ms`, async () => {
				executor.crash();
				await delay(durationMs);
				executor.startAgain();
			});
		},
		odd() {
			const [title, {leave}] = pick(Object.entries(oddEntriesByCase));
			return once(leave, `odd entries: ${title}`, async () => {
				// A process that receives them may be down.
				await Promise.resolve(leave(site, (arbitrary, count) => fc.sample(arbitrary, {seed, numRuns: count}))).catch(() => undefined);
			});
		},
		configuration: () => once('configuration', 'new configuration', async () => {
			site.configure();
		}),
	};
	const latePlanners: typeof planners = {
		lateStarts() {
			const {executor, executorId} = pick(site.agents);
			const [beforeMs, downMs, afterMs, lateMs] = [randomInt(0, 1000), randomInt(200, 800), randomInt(500, 1500), randomInt(500, 4000)];
			return once(executor, `late starts at ${executorId} for ${beforeMs} ms, a crash for ${downMs} ms and ${afterMs} ms, carried out ${lateMs} ms later`, async () => {
				executor.setLateStarts(true);
				await delay(beforeMs);
				executor.crash();
				await delay(downMs);
				executor.startAgain();
				await delay(afterMs);
				executor.setLateStarts(false);
				await delay(lateMs);
				await executor.carryOutLateStarts();
			});
		},
	};
	const recutPlanners: typeof planners = {
		recut() {
			const {executor, executorId, links} = pick(site.agents);
			const [downMs, announceAfterMs, upMs, cutMs] = [randomInt(150, 800), randomInt(0, 1500), randomInt(200, 2500), randomInt(7500, 10_000)];
			const crashInsideMs = randomInt(0, 2) === 0 ? randomInt(500, cutMs - 1500) : undefined;
			const inside = crashInsideMs === undefined ? '' : `, with a crash after ${crashInsideMs} ms`;
			return once(executor, `crash of ${executorId} for ${downMs} ms, announced ${announceAfterMs} ms later, cut off after ${upMs} ms for ${cutMs} ms${inside}`, async () => {
				executor.crash();
				await delay(downMs);
				executor.startAgain({announceAfterMs});
				await delay(upMs);
				for (const link of [links.executor, links.control]) {
					link.setFault({kind: 'silence'});
				}

				if (crashInsideMs === undefined) {
					await delay(cutMs);
				} else {
					await delay(crashInsideMs);
					executor.crash();
					await delay(downMs);
					executor.startAgain();
					await delay(cutMs - crashInsideMs - downMs);
				}

				for (const link of [links.executor, links.control]) {
					link.setFault({kind: 'none'});
				}
			});
		},
	};
	const commonPlanners: typeof planners = {...planners, ...(hasLateStarts && latePlanners), ...(hasRecuts && recutPlanners)};
	const allPlanners: typeof planners = losses
		? {
			...commonPlanners,
			signals() {
				const target = pickProcess();
				const {description, inject, breaksCallsOf} = planSignals(target, {randomInt});
				return once(target, description, inject, breaksCallsOf);
			},
			configurations() {
				const {description, inject} = planConfigurations(site, {randomInt});
				return once('configuration', description, inject);
			},
		}
		: commonPlanners;
	const draws = Math.max(1, Math.floor((site.entries.length + site.agents.length) / processesPerDraw));
	const faults = Array.from({length: randomInt(minFaults, maxFaults) * draws}, () => ({atMs: randomInt(0, faultsMs), ...allPlanners[pick(Object.keys(allPlanners))]!()}))
		.toSorted((left, right) => left.atMs - right.atMs);
	return {faults, losses: losses ? planLosses(site, {kinds: losses, randomInt, targets}) : []};
}
