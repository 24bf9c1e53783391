import {type ControlEffect} from '../entry/control-effect.js';
import {type EventFields} from '../telemetry/event-log.js';
import {describeThrown} from '../validation/describe-thrown.js';

/** Tasks and VMs that made a placement pass throw and were left out of it. */
export type PlacementFailures = Readonly<{
	/** Runs the part of a pass that concerns one task or VM. Returns undefined when it throws, so that the others are still placed. */
	isolate: <Value>(kind: FailedSubject, id: string, run: () => Value) => Value | undefined;
	/** Returns the effects that count the failures of the pass and log some of them, unless others were logged within a second, and when failures were last logged. */
	report: (loggedAtMs: number, nowMs: number) => Readonly<{loggedAtMs: number; effects: readonly ControlEffect[]}>;
}>;

type FailedSubject = 'task' | 'vm';

/** Time between two groups of lines; a failure repeats with each pass. */
const logIntervalMs = 1000;

/** Lines of one group. */
const maxLines = 5;

const subjectFields: Readonly<Record<FailedSubject, (id: string) => EventFields>> = {
	task: taskId => ({taskId}),
	vm: vmId => ({vmId}),
};

/**
Creates the record of the failures of one placement pass.

@example
const failures = createPlacementFailures();
failures.isolate('task', 't1', () => placeTask(pass, task));
const {effects} = failures.report(state.failuresLoggedAtMs, nowMs);
*/
export function createPlacementFailures(): PlacementFailures {
	const failed = new Map<string, EventFields>();

	return {
		isolate(kind, id, run) {
			try {
				return run();
			} catch (error) {
				const key = `${kind} ${id}`;
				if (!failed.has(key)) {
					failed.set(key, {...subjectFields[kind](id), ...describeThrown(error)});
				}

				return undefined;
			}
		},
		report(loggedAtMs, nowMs) {
			if (failed.size === 0) {
				return {loggedAtMs, effects: []};
			}

			const count: ControlEffect = {kind: 'count-metric', name: 'placement.failures', count: failed.size};
			if (nowMs - loggedAtMs < logIntervalMs) {
				return {loggedAtMs, effects: [count]};
			}

			const lines = [...failed.values()].slice(0, maxLines).map((fields): ControlEffect => ({
				kind: 'log-event', level: 'error', event: 'placement-failed', fields: {...fields, failures: failed.size},
			}));
			return {loggedAtMs: nowMs, effects: [count, ...lines]};
		},
	};
}
