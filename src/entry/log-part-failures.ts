import {type EventLog} from '../telemetry/event-log.js';
import {createLineLimit} from '../telemetry/line-limit.js';
import {type Metrics} from '../telemetry/metrics.js';
import {describeThrown} from '../validation/describe-thrown.js';
import {type PartFailure} from './entry-event.js';

/** Failures repeat with each tick or record, so that their lines are limited. */
const linesPerSecond = 5;

/**
Returns the function that logs and counts parts of the entry's reducer that threw. The lines are limited; the counter is not.

@example
const onPartFailed = logPartFailures({eventLog, metrics, nowMs: () => performance.now()});
*/
export function logPartFailures({eventLog, metrics, nowMs}: Readonly<{
	eventLog: EventLog;
	metrics: Metrics;
	nowMs: () => number;
}>): (failure: PartFailure) => void {
	const limit = createLineLimit({linesPerSecond});
	return ({part, offset, error}) => {
		metrics.increment('loop.failures');
		const {isAllowed, omitted} = limit(nowMs());
		if (isAllowed) {
			eventLog.error('reducer-part-failed', {
				part, offset, ...describeThrown(error), omitted,
			});
		}
	};
}
