import {setTimeout as delay} from 'node:timers/promises';
import {type Fault, type RandomInt} from './faults.js';
import {type Site, type SiteAgent, type SiteEntry} from './site.js';

/** The platform ends a process this long after SIGTERM. */
export const graceMs = 6000;

const maxSignalPauseMs = 700;
const maxConfigurationPauseMs = 300;

type Signal = 'SIGHUP' | 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT';

const signals: readonly Signal[] = ['SIGHUP', 'SIGTERM', 'SIGKILL', 'SIGSTOP', 'SIGCONT'];
const breakingSignals: ReadonlySet<Signal> = new Set(['SIGKILL', 'SIGSTOP']);

const send: Readonly<Record<Signal, (target: SiteEntry | SiteAgent) => Promise<void> | void>> = {
	SIGHUP(target) {
		// A process that has printed nothing yet may not handle it.
		if (target.current().lines().length > 0) {
			target.current().hangUp();
		}
	},
	SIGTERM(target) {
		target.terminate();
	},
	async SIGKILL(target) {
		target.kill();
		await target.startAgain();
	},
	SIGSTOP(target) {
		target.current().pause();
	},
	SIGCONT(target) {
		target.current().resume();
	},
};

/** Waits until a process that got SIGTERM has ended, and starts it again. */
async function finishStop(target: SiteEntry | SiteAgent): Promise<void> {
	await target.current().waitForExit(graceMs).catch(() => {
		target.kill();
	});
	await target.startAgain();
}

/**
Plans signals to one process that follow each other sooner than it can act on them.

@example
const {description, inject} = planSignals(site.entries[0], {randomInt});
*/
export function planSignals(target: SiteEntry | SiteAgent, {randomInt}: Readonly<{randomInt: RandomInt}>): Omit<Fault, 'atMs'> {
	const steps = Array.from({length: randomInt(2, 5)}, () => ({signal: signals[randomInt(0, signals.length - 1)]!, pauseMs: randomInt(0, maxSignalPauseMs)}));
	return {
		description: `${steps.map(({signal, pauseMs}) => `${signal}, ${pauseMs} ms`).join(', ')} at ${target.name}`,
		...(steps.some(({signal}) => breakingSignals.has(signal)) && {breaksCallsOf: target.name}),
		async inject() {
			let isStopping = false;
			for (const {signal, pauseMs} of steps) {
				if (signal === 'SIGKILL' || !target.current().exit()) {
					await send[signal](target);
					isStopping = signal === 'SIGTERM' || (isStopping && signal !== 'SIGKILL');
				}

				await delay(pauseMs);
			}

			target.current().resume();
			if (isStopping) {
				await finishStop(target);
			}
		},
	};
}

/**
Plans configurations that follow each other sooner than they are in force.

@example
const {description, inject} = planConfigurations(site, {randomInt});
*/
export function planConfigurations(site: Site, {randomInt}: Readonly<{randomInt: RandomInt}>): Omit<Fault, 'atMs'> {
	const pausesMs = Array.from({length: randomInt(3, 6)}, () => randomInt(0, maxConfigurationPauseMs));
	return {
		description: `${pausesMs.length} new configurations`,
		async inject() {
			for (const pauseMs of pausesMs) {
				site.configure();
				await delay(pauseMs);
			}
		},
	};
}
