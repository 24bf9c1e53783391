/** Passes events to a reducer one at a time and executes the effects that it returns. */
export type EventLoop<State, Event> = Readonly<{
	state: () => State;
	dispatch: (event: Event) => void;
}>;

/** An event whose reducer threw, or an effect that threw, with the error. */
export type EventLoopFailure<Event, Effect>
	= | Readonly<{part: 'event'; failed: Event; error: unknown}>
		| Readonly<{part: 'effect'; failed: Effect; error: unknown}>;

/**
Creates the event loop of a process. An event that arrives while effects are executed waits until they are done, so that
effects are executed in the order in which they were decided. An event whose reducer throws is dropped: the state stays as it was.
An effect that throws does not keep the effects and events behind it from being executed. `onFailure` is called with either.

@example
const loop = createEventLoop({initialState, reduce, execute, onFailure});
loop.dispatch({kind: 'tick'});
*/
export function createEventLoop<State, Event, Effect>({initialState, reduce, execute, onFailure}: Readonly<{
	initialState: State;
	reduce: (state: State, event: Event) => Readonly<{state: State; effects: readonly Effect[]}>;
	execute: (effect: Effect) => void;
	onFailure: (failure: EventLoopFailure<Event, Effect>) => void;
}>): EventLoop<State, Event> {
	let state = initialState;
	let isRunning = false;
	const pendingEvents: Event[] = [];

	/** Applies an event to the state and returns its effects; none when the reducer throws. */
	function apply(event: Event): readonly Effect[] {
		try {
			const transition = reduce(state, event);
			state = transition.state;
			return transition.effects;
		} catch (error) {
			onFailure({part: 'event', failed: event, error});
			return [];
		}
	}

	function processPendingEvents(): void {
		for (let event = pendingEvents.shift(); event !== undefined; event = pendingEvents.shift()) {
			for (const effect of apply(event)) {
				try {
					execute(effect);
				} catch (error) {
					onFailure({part: 'effect', failed: effect, error});
				}
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
