import {type Clock} from './clock.js';

/** A clock for tests; its time changes only by `advance`. */
export type FakeClock = Clock & Readonly<{advance: (durationMs: number) => Promise<void>}>;

async function runPendingCallbacks(): Promise<void> {
	for (let round = 0; round < 3; round++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

/**
Creates a clock whose `advance` wakes sleepers in the order of their wake times, and runs the pending callbacks in between.

@example
const clock = createFakeClock();
await clock.advance(1000);
*/
export function createFakeClock(): FakeClock {
	let nowMs = 0;
	const sleepers = new Set<{wakeAtMs: number; wake: () => void}>();
	return {
		nowMs: () => nowMs,
		async sleep(durationMs, signal) {
			return new Promise(resolve => {
				const sleeper = {
					wakeAtMs: nowMs + Math.max(0, durationMs),
					wake() {
						sleepers.delete(sleeper);
						signal?.removeEventListener('abort', sleeper.wake);
						resolve();
					},
				};
				sleepers.add(sleeper);
				signal?.addEventListener('abort', sleeper.wake);
				if (signal?.aborted) {
					sleeper.wake();
				}
			});
		},
		async advance(durationMs) {
			const endMs = nowMs + durationMs;
			for (;;) {
				await runPendingCallbacks();
				const [next] = [...sleepers].toSorted((a, b) => a.wakeAtMs - b.wakeAtMs);
				if (!next || next.wakeAtMs > endMs) {
					break;
				}

				nowMs = next.wakeAtMs;
				next.wake();
			}

			nowMs = endMs;
		},
	};
}
