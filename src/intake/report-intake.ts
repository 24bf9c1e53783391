import type {Metrics} from '../telemetry/metrics.js';
import type {Intake} from './intake.js';
import {intakeGroups} from './intake-shares.js';

/**
Reports the open connections, the bytes of open bodies and the refusals of a process since the last report.

@example
setInterval(() => reportIntake(intake, metrics), 1000);
*/
export function reportIntake(intake: Intake, metrics: Metrics): void {
	for (const group of intakeGroups) {
		metrics.gauge('intake.connections', intake.connections(group).used(), {server: group});
		metrics.gauge('intake.body-bytes', intake.bodies(group).used(), {server: group});
	}

	for (const {group, reason, count} of intake.takeRefusals()) {
		metrics.increment('intake.refused', count, {server: group, reason});
	}
}
