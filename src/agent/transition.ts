import type {AgentEffect} from './agent-effect.js';
import type {AgentState} from './agent-state.js';

/** A new state and what the shell shall do. */
export type Transition = Readonly<{state: AgentState; effects: readonly AgentEffect[]}>;

/**
Makes a transition.

@example
transition(state, {kind: 'count', metric: 'agent.evictions'});
*/
export function transition(state: AgentState, ...effects: readonly AgentEffect[]): Transition {
	return {state, effects};
}

/**
Runs steps one after the other, each on the state of the one before, and joins their effects.

@example
chain(state, expireLease(nowMs), sendDueEvents(nowMs));
*/
export function chain(state: AgentState, ...steps: ReadonlyArray<(state: AgentState) => Transition>): Transition {
	const effects: AgentEffect[] = [];
	let current = state;
	for (const step of steps) {
		const next = step(current);
		current = next.state;
		effects.push(...next.effects);
	}

	return {state: current, effects};
}
