import {type Result} from 'true-myth/result';
import {messageOf} from './errors/message-of.js';
import {formatError, type TypedError} from './errors/typed-error.js';
import {type CommandOutput, type ExitStatus, failSettings} from './operator/command-output.js';
import {
	type RoleContext, type RoleProcess, startAgentRole, startEntryRole,
} from './roles.js';
import {type AgentSettings} from './settings/agent-settings.js';
import {type EntrySettings} from './settings/entry-settings.js';
import {loadSettings} from './settings/load-settings.js';
import {settingsSchemas} from './settings/settings-schemas.js';
import {type EventLog} from './telemetry/event-log.js';
import {createEventLog} from './telemetry/create-event-log.js';
import {createMetrics} from './telemetry/create-metrics.js';
import {createTimeline} from './telemetry/create-timeline.js';

/**
Runs the entry until `stopSignal` resolves with the name of the signal.

@example
await runEntry('entry.yaml', output, stopSignal);
*/
export async function runEntry(settingsFile: string, output: CommandOutput, stopSignal: Promise<string>): Promise<ExitStatus> {
	const settings = await loadSettings(settingsFile, await settingsSchemas.entry());
	return settings.isErr
		? failSettings(output, settings.error)
		: runProcess<EntrySettings>(`entry/${settings.value.entryId}`, settings.value, startEntryRole, stopSignal);
}

/**
Runs the agent until `stopSignal` resolves with the name of the signal.

@example
await runAgent('agent.yaml', output, stopSignal);
*/
export async function runAgent(settingsFile: string, output: CommandOutput, stopSignal: Promise<string>): Promise<ExitStatus> {
	const settings = await loadSettings(settingsFile, await settingsSchemas.agent());
	return settings.isErr
		? failSettings(output, settings.error)
		: runProcess<AgentSettings>(`agent/${settings.value.vmId}`, settings.value, startAgentRole, stopSignal);
}

type CommonSettings = Pick<EntrySettings | AgentSettings, 'logLevel' | 'metrics'>;

async function runProcess<Settings extends CommonSettings>(
	name: string,
	settings: Settings,
	start: (context: RoleContext<Settings>) => Promise<Result<RoleProcess, TypedError>>,
	stopSignal: Promise<string>,
): Promise<ExitStatus> {
	const eventLog = await createEventLog({process: name, level: settings.logLevel});
	const metrics = await createMetrics({
		...settings.metrics,
		onError(error) {
			eventLog.warn('metrics-failed', {reason: error.message});
		},
	});
	// A restarted process counts its events from 0 again, so the name of its timeline must be another one.
	const timeline = createTimeline({process: `${name}@${Date.now().toString(36)}`});
	let status: ExitStatus = 0;
	try {
		const running = await start({
			settings, eventLog, metrics, timeline,
		});
		status = running.isOk
			? await runUntilStopped(running.value, eventLog, stopSignal)
			: reportStartFailure(running.error, eventLog);
	} catch (error) {
		eventLog.error('process-failed', {reason: messageOf(error)});
		status = 1;
	}

	await metrics.close();
	await eventLog.close();
	return status;
}

async function runUntilStopped(running: RoleProcess, eventLog: EventLog, stopSignal: Promise<string>): Promise<ExitStatus> {
	eventLog.info('process-started');
	const signal = await stopSignal;
	eventLog.info('process-stopping', {signal});
	await running.stop();
	eventLog.info('process-stopped');
	return 0;
}

function reportStartFailure(error: TypedError, eventLog: EventLog): ExitStatus {
	eventLog.error('process-failed', {reason: formatError(error)});
	return 1;
}
