import {type EntrySettings} from '../settings/entry-settings.js';
import {type EntryContext} from './entry-context.js';
import {type EventInputs} from './entry-event.js';
import {type EntryState} from './entry-state.js';

/**
Returns what the parts of the entry's reducer may read while an event is handled.

@example
const context = contextOf(state, inputs, settings);
*/
export function contextOf(state: EntryState, inputs: EventInputs, settings: EntrySettings): EntryContext {
	return {
		nowMs: inputs.nowMs,
		wallTimeMs: inputs.wallTimeMs,
		seed: inputs.seed,
		pendingAppends: inputs.pendingAppends,
		cluster: state.cluster,
		settings,
		incarnation: state.incarnation,
		tailConfirmedSentAtMs: state.log.tailConfirmedSentAtMs,
		...(inputs.evacuationRequests !== undefined && {evacuationRequests: inputs.evacuationRequests}),
	};
}
