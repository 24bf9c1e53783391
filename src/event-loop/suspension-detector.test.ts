import test from 'ava';
import {createSuspensionDetector} from './suspension-detector.js';

test('time in which the VM was suspended is seen once, and neither running time nor corrections of the time of day count', t => {
	let wallMs = 1_000_000;
	let steadyMs = 500;
	const suspensions = createSuspensionDetector({wallTimeMs: () => wallMs, steadyMs: () => steadyMs});
	const pass = (byWallMs: number, bySteadyMs: number): number => {
		wallMs += byWallMs;
		steadyMs += bySteadyMs;
		return suspensions.suspendedMs();
	};

	t.is(pass(10_000, 10_000), 0, 'the VM runs, or its process is paused');
	t.is(pass(4100, 100), 4000, 'the VM was suspended');
	t.is(pass(1000, 1000), 0, 'it runs again');
	t.is(pass(-2000, 100), 0, 'the time of day is set back');
	t.is(pass(2_400_000, 100), 0, 'the time of day is set ahead by far');
	for (let count = 0; count < 100; count++) {
		t.is(pass(105, 100), 0, 'the time of day is adjusted slowly');
	}
});
