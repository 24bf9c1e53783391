import {setTimeout as delay} from 'node:timers/promises';
import {type Fault, type FaultTargets, type RandomInt} from './faults.js';
import {type Site, type SiteAgent} from './site.js';

/** Losses begin within this time after the other faults. */
const lossesMs = 3000;

/** Losses in a run, beside which at least half of the VMs stay. */
const maxLosses = 3;

/** An executor, a VM with its agent, or an executor whose agent is stopped soon after, for good or to come back. */
export const lossKinds = ['executor', 'vm', 'stop', 'restart'] as const;
export type LossKind = typeof lossKinds[number];

/** Longest time from the loss of an executor to SIGTERM of its agent, and from there to SIGKILL. */
const maxStepMs = 1500;

const maxStartMs = 1000;

async function loseExecutor({executor, links}: SiteAgent): Promise<void> {
	executor.crash();
	// A connection to the address of a process that is gone is refused.
	await links.executor.close();
}

async function stopAgent(agent: SiteAgent, {terminateMs, killMs}: Readonly<{terminateMs: number; killMs: number}>): Promise<void> {
	await delay(terminateMs);
	agent.terminate();
	await delay(killMs);
	agent.kill();
}

/**
Plans losses for good on different VMs.

@example
const losses = planLosses(site, {kinds: ['executor'], randomInt, targets});
*/
export function planLosses({agents}: Site, {kinds, randomInt, targets}: Readonly<{kinds: readonly LossKind[]; randomInt: RandomInt; targets: FaultTargets}>): readonly Fault[] {
	const remaining = [...agents];
	const planners: Readonly<Record<LossKind, (agent: SiteAgent) => Omit<Fault, 'atMs'>>> = {
		executor: agent => ({
			description: `loss of ${agent.executorId}`,
			async inject() {
				await targets.take(agent.executor);
				await loseExecutor(agent);
			},
		}),
		vm: agent => ({
			description: `loss of ${agent.executorId} with ${agent.name}`,
			async inject() {
				await targets.take(agent.executor);
				await targets.take(agent);
				agent.kill();
				await Promise.all([loseExecutor(agent), agent.links.control.close()]);
			},
		}),
		stop(agent) {
			const [terminateMs, killMs] = [randomInt(0, maxStepMs), randomInt(0, maxStepMs)];
			return {
				description: `loss of ${agent.executorId}, SIGTERM of ${agent.name} after ${terminateMs} ms, SIGKILL after ${killMs} ms`,
				async inject() {
					await targets.take(agent.executor);
					await targets.take(agent);
					await loseExecutor(agent);
					await stopAgent(agent, {terminateMs, killMs});
					await agent.links.control.close();
				},
			};
		},
		restart(agent) {
			const [terminateMs, killMs, startMs] = [randomInt(0, maxStepMs), randomInt(0, maxStepMs), randomInt(0, maxStartMs)];
			return {
				description: `loss of ${agent.executorId}, SIGTERM of ${agent.name} after ${terminateMs} ms, SIGKILL after ${killMs} ms, back after ${startMs} ms`,
				async inject() {
					await targets.take(agent.executor);
					await targets.take(agent);
					await loseExecutor(agent);
					await stopAgent(agent, {terminateMs, killMs});
					await delay(startMs);
					await agent.startAgain();
					targets.free(agent);
				},
			};
		},
	};
	return Array.from({length: randomInt(1, Math.min(maxLosses, Math.floor(agents.length / 2)))}, () => {
		const [agent] = remaining.splice(randomInt(0, remaining.length - 1), 1);
		return {atMs: randomInt(0, lossesMs), ...planners[kinds[randomInt(0, kinds.length - 1)]!](agent!)};
	});
}
