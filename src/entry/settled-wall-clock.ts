/** A time of day in Unix milliseconds that follows the VM's clock, but not its short jumps. */
export type SettledWallClock = Readonly<{nowMs: () => number}>;

const sampleIntervalMs = 1000;

/** Number of samples of the difference between the two clocks; the time of day that most of them agree on holds. */
const maxSamples = 61;

/**
Creates a time of day that ignores jumps of the VM's clock which are shorter than 30 s, and follows longer ones after 30 s. Between
samples it advances with the steady clock. A process that starts during a jump follows the clock back once the jump has been over for
longer than the process saw it.

@example
const wallClock = createSettledWallClock({wallMs: Date.now, steadyMs: () => performance.now()});
wallClock.nowMs(); // => 1796490000000
*/
export function createSettledWallClock({wallMs, steadyMs}: Readonly<{wallMs: () => number; steadyMs: () => number}>): SettledWallClock {
	let differencesMs: readonly number[] = [];
	let settledDifferenceMs = 0;
	let nextSampleAtMs = Number.NEGATIVE_INFINITY;

	function sample(steadyNowMs: number): void {
		differencesMs = [...differencesMs, wallMs() - steadyNowMs].slice(-maxSamples);
		settledDifferenceMs = differencesMs.toSorted((left, right) => left - right)[Math.floor(differencesMs.length / 2)]!;
		nextSampleAtMs = steadyNowMs + sampleIntervalMs;
	}

	return {
		nowMs() {
			const steadyNowMs = steadyMs();
			if (steadyNowMs >= nextSampleAtMs) {
				sample(steadyNowMs);
			}

			return Math.round(steadyNowMs + settledDifferenceMs);
		},
	};
}

/**
Creates a settled time of day from the clocks of this process.

@example
createSystemWallClock().nowMs(); // => 1796490000000
*/
export function createSystemWallClock(): SettledWallClock {
	return createSettledWallClock({wallMs: Date.now, steadyMs: () => performance.now()});
}
