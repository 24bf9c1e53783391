import {type EventLog} from '../telemetry/event-log.js';
import {createLineLimit} from '../telemetry/line-limit.js';
import {type Metrics} from '../telemetry/metrics.js';
import {describeThrown} from '../validation/describe-thrown.js';
import {type EventLoopFailure} from './create-event-loop.js';

/** Failures repeat with each tick or record, so that their lines are limited. */
const linesPerSecond = 5;

type WithKind = Readonly<{kind: string}>;

/**
Returns the function that logs and counts the failures of an event loop. The lines are limited; the counter is not.

@example
const loop = createEventLoop({initialState, reduce, execute, onFailure: logLoopFailures({eventLog, metrics, nowMs})});
*/
export function logLoopFailures<Event extends WithKind, Effect extends WithKind>({eventLog, metrics, nowMs}: Readonly<{
	eventLog: EventLog;
	metrics: Metrics;
	nowMs: () => number;
}>): (failure: EventLoopFailure<Event, Effect>) => void {
	const limit = createLineLimit({linesPerSecond});
	return ({part, failed, error}) => {
		metrics.increment('loop.failures');
		const {isAllowed, omitted} = limit(nowMs());
		if (!isAllowed) {
			return;
		}

		const fields = {kind: failed.kind, ...describeThrown(error), omitted};
		if (part === 'event') {
			eventLog.error('event-failed', fields);
		} else {
			eventLog.error('effect-failed', fields);
		}
	};
}
