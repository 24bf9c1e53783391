import test from 'ava';
import {createSettledWallClock} from './settled-wall-clock.js';

const startWallMs = 1_800_000_000_000;
const jumpMs = 2_400_000;

/** Returns the largest error of the clock in each of two periods while the time of day is off by `jumpMs` from `fromS` to `untilS`. */
function errorsMs({fromS, untilS, by, settledAfterS, lengthS = 120}: Readonly<{fromS: number; untilS: number; by: number; settledAfterS: number; lengthS?: number}>) {
	let steadyMs = 0;
	const trueMs = (): number => startWallMs + steadyMs;
	const clock = createSettledWallClock({
		steadyMs: () => steadyMs,
		wallMs: () => trueMs() + (steadyMs >= 1000 * fromS && steadyMs < 1000 * untilS ? by : 0),
	});
	let before = 0;
	let after = 0;
	for (; steadyMs < 1000 * lengthS; steadyMs += 50) {
		const errorMs = Math.abs(clock.nowMs() - trueMs());
		if (steadyMs < 1000 * settledAfterS) {
			before = Math.max(before, errorMs);
		} else {
			after = Math.max(after, errorMs);
		}
	}

	return {before, after};
}

for (const by of [jumpMs, -jumpMs]) {
	test(`a jump of the time of day by ${by} ms for 6 s makes no job look older or younger`, t => {
		t.deepEqual(errorsMs({
			fromS: 20, untilS: 26, by, settledAfterS: 0,
		}), {before: 0, after: 0});
	});

	test(`an entry that starts during a jump by ${by} ms tells the right time soon after it`, t => {
		t.is(errorsMs({
			fromS: 0, untilS: 6, by, settledAfterS: 14,
		}).after, 0);
	});

	test(`a clock that is set by ${by} ms for good is followed`, t => {
		t.is(errorsMs({
			fromS: 0, untilS: 60, by, settledAfterS: 95, lengthS: 150,
		}).after, 0);
	});
}
