import type {AgentEffect} from './agent-effect.js';
import type {AgentState} from './agent-state.js';

/** A new state, and the effects that the process is to run. */
export type Transition = Readonly<{state: AgentState; effects: readonly AgentEffect[]}>;

/**
Returns a transition.

@example
transition(state, {kind: 'count', metric: 'agent.evictions'});
*/
export function transition(state: AgentState, ...effects: readonly AgentEffect[]): Transition {
	return {state, effects};
}

/**
Applies updates one after the other, each to the state of the one before, and concatenates their effects.

@example
chain(state, expireLease(nowMs), sendDueTaskEvents(nowMs));
*/
export function chain(state: AgentState, ...updates: ReadonlyArray<(state: AgentState) => Transition>): Transition {
	const effects: AgentEffect[] = [];
	let current = state;
	for (const update of updates) {
		const next = update(current);
		current = next.state;
		effects.push(...next.effects);
	}

	return {state: current, effects};
}
