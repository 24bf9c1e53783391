import type {EventLog} from '../telemetry/event-log.js';
import {createIntake, type Intake} from './intake.js';
import {agentIntakeShares, entryIntakeShares} from './intake-shares.js';
import {defaultAgentIntakeLimits, defaultEntryIntakeLimits} from './intake-limits.js';

const roles = {
	entry: {limits: defaultEntryIntakeLimits, shares: entryIntakeShares},
	agent: {limits: defaultAgentIntakeLimits, shares: agentIntakeShares},
};

const ignore = (): void => {
	// A server without the account of its process logs no refusals.
};

const noLog: EventLog = {
	debug: ignore, info: ignore, warn: ignore, error: ignore,
};

/**
Creates an account with the default limits, for a server that is not given that of its process.

@example
const intake = createDefaultIntake('entry');
*/
export function createDefaultIntake(role: 'entry' | 'agent'): Intake {
	return createIntake({...roles[role], eventLog: noLog, nowMs: () => performance.now()});
}
