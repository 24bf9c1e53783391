/** Feeds events to a reducer one after the other and hands the effects to the shell. */
export type EventLoop<State, Event> = Readonly<{
	state: () => State;
	dispatch: (event: Event) => void;
}>;

/**
Creates the loop of a process. An event that arrives while effects are executed waits until they are done, so that
effects are executed in the order in which they were decided.

@example
const loop = createEventLoop({initialState, reduce, execute});
loop.dispatch({kind: 'tick'});
*/
export function createEventLoop<State, Event, Effect>({initialState, reduce, execute}: Readonly<{
	initialState: State;
	reduce: (state: State, event: Event) => Readonly<{state: State; effects: readonly Effect[]}>;
	execute: (effect: Effect) => void;
}>): EventLoop<State, Event> {
	let state = initialState;
	let isRunning = false;
	const waiting: Event[] = [];

	function run(): void {
		for (let event = waiting.shift(); event !== undefined; event = waiting.shift()) {
			const step = reduce(state, event);
			state = step.state;
			for (const effect of step.effects) {
				execute(effect);
			}
		}
	}

	return {
		state: () => state,
		dispatch(event) {
			waiting.push(event);
			if (isRunning) {
				return;
			}

			isRunning = true;
			try {
				run();
			} finally {
				isRunning = false;
			}
		},
	};
}
