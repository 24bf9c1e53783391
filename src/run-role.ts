import process from 'node:process';
import {type Result} from 'true-myth/result';
import {messageOf} from './errors/message-of.js';
import {formatError, type TypedError} from './errors/typed-error.js';
import {handleProcessErrors} from './handle-process-errors.js';
import {createIntake} from './intake/intake.js';
import {agentIntakeShares, entryIntakeShares} from './intake/intake-shares.js';
import {reportIntake} from './intake/report-intake.js';
import {type CommandOutput, type ExitStatus, failWithSettingsProblems} from './operator/command-output.js';
import {type RoleContext, type RoleProcess, startRole} from './roles.js';
import {type AgentSettings} from './settings/agent-settings.js';
import {type EntrySettings} from './settings/entry-settings.js';
import {loadSettings, type SettingsError} from './settings/load-settings.js';
import {settingsSchemas} from './settings/settings-schemas.js';
import {type EventLog} from './telemetry/event-log.js';
import {createEventLog} from './telemetry/create-event-log.js';
import {createMetrics} from './telemetry/create-metrics.js';
import {createTimeline} from './telemetry/create-timeline.js';
import {monotonicMs} from './worker/monotonic-clock.js';

/**
Runs the entry until `stopSignal` resolves with the name of the signal.

@example
await runEntry('entry.yaml', output, stopSignal);
*/
export async function runEntry(settingsFile: string, output: CommandOutput, stopSignal: Promise<string>): Promise<ExitStatus> {
	const load = async () => loadSettings(settingsFile, await settingsSchemas.entry());
	const settings = await load();
	return settings.isErr
		? failWithSettingsProblems(output, settings.error)
		: runProcess<EntrySettings>({
			name: `entry/${settings.value.entryId}`, settings: settings.value, load, start: startRole.entry, stopSignal,
		});
}

/**
Runs the agent until `stopSignal` resolves with the name of the signal.

@example
await runAgent('agent.yaml', output, stopSignal);
*/
export async function runAgent(settingsFile: string, output: CommandOutput, stopSignal: Promise<string>): Promise<ExitStatus> {
	const load = async () => loadSettings(settingsFile, await settingsSchemas.agent());
	const settings = await load();
	return settings.isErr
		? failWithSettingsProblems(output, settings.error)
		: runProcess<AgentSettings>({
			name: `agent/${settings.value.vmId}`, settings: settings.value, load, start: startRole.agent, stopSignal,
		});
}

type CommonSettings = Pick<EntrySettings | AgentSettings, 'logLevel' | 'metrics' | 'intake' | 'role'>;

const sharesByRole = {entry: entryIntakeShares, agent: agentIntakeShares};

/** Time between two reports of the intake. */
const reportIntervalMs = 1000;

async function runProcess<Settings extends CommonSettings>({name, settings, load, start, stopSignal}: Readonly<{
	name: string;
	settings: Settings;
	/** Reads the settings file again. */
	load: () => Promise<Result<Settings, SettingsError>>;
	start: (context: RoleContext<Settings>) => Promise<Result<RoleProcess, TypedError>>;
	stopSignal: Promise<string>;
}>): Promise<ExitStatus> {
	const eventLog = await createEventLog({process: name, level: settings.logLevel});
	checkSettingsOnHangup(settings, load, eventLog);
	const intake = createIntake({
		limits: settings.intake, shares: sharesByRole[settings.role], eventLog, nowMs: monotonicMs,
	});
	const metrics = await createMetrics({
		...settings.metrics,
		intake,
		onError(error) {
			eventLog.warn('metrics-failed', {reason: error.message});
		},
	});
	const reportTimer = setInterval(() => {
		reportIntake(intake, metrics);
	}, reportIntervalMs);
	handleProcessErrors({
		emitter: process,
		eventLog,
		metrics,
		exit(exitStatus) {
			process.exit(exitStatus); // eslint-disable-line unicorn/no-process-exit -- The state may be broken, and open handles would keep the process running.
		},
		nowMs: monotonicMs,
	});
	// A restarted process numbers its events from 0 again, so its timeline needs a different name.
	const timeline = createTimeline({process: `${name}@${Date.now().toString(36)}`});
	let status: ExitStatus = 0;
	try {
		const running = await start({
			settings, eventLog, metrics, timeline, intake,
		});
		status = running.isOk
			? await runUntilStopped(running.value, eventLog, stopSignal)
			: reportStartFailure(running.error, eventLog);
	} catch (error) {
		eventLog.error('process-failed', {reason: messageOf(error)});
		status = 1;
	}

	clearInterval(reportTimer);
	await metrics.close();
	await eventLog.close();
	return status;
}

/** Reads the settings file again on SIGHUP and logs which settings a restart would change; the running process keeps its settings. */
function checkSettingsOnHangup<Settings extends CommonSettings>(settings: Settings, load: () => Promise<Result<Settings, SettingsError>>, eventLog: EventLog): void {
	process.on('SIGHUP', () => {
		void (async () => {
			const reloaded = await load();
			if (reloaded.isErr) {
				eventLog.warn('settings-invalid', {reason: formatError(reloaded.error)});
				return;
			}

			const currentFields = new Map(Object.entries(settings));
			const changed = Object.entries(reloaded.value)
				.filter(([field, value]) => JSON.stringify(value) !== JSON.stringify(currentFields.get(field)))
				.map(([field]) => field);
			eventLog.info('settings-read', {changed: changed.join(','), remedy: changed.length > 0 ? 'restart the process to apply the changed settings' : undefined});
		})();
	});
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
