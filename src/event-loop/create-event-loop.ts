/** Passes events to a reducer one at a time and executes the effects that it returns. */
export type EventLoop<State, Event> = Readonly<{
	state: () => State;
	dispatch: (event: Event) => void;
}>;

/**
Creates the event loop of a process. An event that arrives while effects are executed waits until they are done, so that
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
	const pendingEvents: Event[] = [];

	function processPendingEvents(): void {
		for (let event = pendingEvents.shift(); event !== undefined; event = pendingEvents.shift()) {
			const transition = reduce(state, event);
			state = transition.state;
			for (const effect of transition.effects) {
				execute(effect);
			}
		}
	}

	return {
		state: () => state,
		dispatch(event) {
			pendingEvents.push(event);
			if (isRunning) {
				return;
			}

			isRunning = true;
			try {
				processPendingEvents();
			} finally {
				isRunning = false;
			}
		},
	};
}
