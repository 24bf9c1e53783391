import {cac, type CAC, type Command} from 'cac';
import packageJson from '../../package.json' with {type: 'json'};
import {messageOf} from '../errors/message-of.js';
import {type CommandOutput, type ExitStatus} from './command-output.js';
import {intentOptions} from './intent-options.js';
import {UsageError} from './usage-error.js';
import {type ConnectionOptions} from './with-client.js';

/** 0 for success, 1 for a refusal or failure, 2 for wrong usage. */
export type CommandLineStatus = ExitStatus | 2;

/** What the command line needs of its process. */
export type CommandLineContext = Readonly<{
	output: CommandOutput;
	/** Starts to listen for stop signals and resolves with the first one; only the commands `entry` and `agent` call it. */
	listenForStop: () => Promise<string>;
}>;

type Options = Readonly<Record<string, unknown>>;

/**
Cac turns arguments that look like numbers into numbers, which would change identifiers such as `007` or `1e3`.
Prefixed with this character they stay text; it is removed when an option is read.
*/
const TEXT_MARKER = '\u0000';

const ADDRESS_PATTERN = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v;

/**
Runs one command and returns the exit status; `argv` is that of the process.

@example
process.exitCode = await runCommandLine(process.argv, context);
*/
export async function runCommandLine(argv: readonly string[], context: CommandLineContext): Promise<CommandLineStatus> {
	const {output} = context;
	const cli = createCommandLine(context);
	try {
		cli.parse([...argv.slice(0, 2), ...argv.slice(2).map(argument => markNumericText(argument))], {run: false});
		if (cli.options.help === true) {
			return 0;
		}

		if (cli.options.version === true) {
			output.print(`arbutushinge ${packageJson.version}`);
			return 0;
		}

		if (cli.matchedCommand === undefined) {
			const name = unmarkedText(cli.args[0]);
			throw new UsageError(name === undefined ? 'name a command' : `there is no command ${name}`);
		}

		const trailingArguments: unknown = cli.options['--'];
		if (Array.isArray(trailingArguments) && trailingArguments.length > 0) {
			throw new UsageError('arguments after -- are not used by any command');
		}

		const status: unknown = await cli.runMatchedCommand();
		return status === 0 ? 0 : 1;
	} catch (error) {
		if (error instanceof UsageError || (error instanceof Error && error.name === 'CACError')) {
			output.printError(`wrong usage: ${error.message.replaceAll(TEXT_MARKER, '')}; remedy: see arbutushinge ${cli.matchedCommandName ?? ''} --help`.replace('  ', ' '));
			return 2;
		}

		output.printError(`failed: ${messageOf(error)}`);
		return 1;
	}
}

function createCommandLine(context: CommandLineContext): CAC {
	const {output, listenForStop} = context;
	const cli = cac('arbutushinge');

	cli.command('entry', 'Run an entry: admission, routing, placement and plans')
		.option('--settings <FILE>', 'Settings file of the entry')
		.action(async (options: Options) => {
			const settingsFile = readRequiredOption(options, 'settings');
			const {runEntry} = await import('../run-role.js');
			return runEntry(settingsFile, output, listenForStop());
		});

	cli.command('agent', 'Run the agent beside the worker of a VM')
		.option('--settings <FILE>', 'Settings file of the agent')
		.action(async (options: Options) => {
			const settingsFile = readRequiredOption(options, 'settings');
			const {runAgent} = await import('../run-role.js');
			return runAgent(settingsFile, output, listenForStop());
		});

	const plan = withConnection(cli.command('plan', 'Compute a plan for an intent; nothing changes until it is confirmed'))
		.option('--intent <FILE>', 'YAML or JSON file that holds the intent')
		.option('--output <FILE>', 'Write the plan to this file')
		.option('--json', 'Print the plan as JSON');
	for (const {option, value, description} of intentOptions) {
		plan.option(`--${option} <${value}>`, description);
	}

	plan.example(name => `  $ ${name} plan --entry 127.0.0.1:7003 --token-file operator.token --drain-vm vm-3 --output plan.json`)
		.action(async (options: Options) => {
			const {parseIntentOptions} = await import('./parse-intent-options.js');
			const intent = parseIntentOptions(option => readOption(options, option));
			const connection = readConnectionOptions(options);
			const outputFile = readOption(options, 'output');
			const {runPlanCommand} = await import('./plan-command.js');
			return runPlanCommand({
				connection, intent, json: isFlagSet(options, 'json'), outputFile,
			}, output);
		});

	withConnection(cli.command('confirm', 'Confirm a plan; asking again with the same plan is safe'))
		.option('--plan <FILE>', 'File that holds the plan')
		.option('--json', 'Print the decision as JSON')
		.action(async (options: Options) => {
			const planFile = readRequiredOption(options, 'plan');
			const connection = readConnectionOptions(options);
			const {runConfirmCommand} = await import('./confirm-command.js');
			return runConfirmCommand({connection, planFile, json: isFlagSet(options, 'json')}, output);
		});

	withConnection(cli.command('status', 'Show services, VMs, queues, configuration and log'))
		.option('--json', 'Print the report as JSON')
		.action(async (options: Options) => {
			const connection = readConnectionOptions(options);
			const {runStatusCommand} = await import('./status-command.js');
			return runStatusCommand({connection, json: isFlagSet(options, 'json')}, output);
		});

	withConnection(cli.command('explain <ID>', 'Say why something was decided about a task, plan, key hash or request'))
		.option('--json', 'Print the explanation as JSON')
		.action(async (id: unknown, options: Options) => {
			const connection = readConnectionOptions(options);
			const {runExplainCommand} = await import('./explain-command.js');
			return runExplainCommand({connection, subject: unmarkedText(id) ?? '', json: isFlagSet(options, 'json')}, output);
		});

	withConnection(cli.command('timeline', 'Merge the events of the named entries and their agents'))
		.option('--html <FILE>', 'Write a self-contained page to this file')
		.option('--task <ID>', 'Only events of this task')
		.option('--request <ID>', 'Only events of this request')
		.option('--vm <ID>', 'Only events of this VM')
		.option('--from <TIME>', 'Only events from this time on, in ISO 8601 or milliseconds')
		.option('--to <TIME>', 'Only events up to this time')
		.option('--json', 'Print the events as JSON')
		.action(async (options: Options) => {
			const connection = readConnectionOptions(options);
			const filter = {
				taskId: readOption(options, 'task'),
				requestId: readOption(options, 'request'),
				vmId: readOption(options, 'vm'),
				fromMs: readTimeOptionMs(options, 'from'),
				toMs: readTimeOptionMs(options, 'to'),
			};
			const htmlFile = readOption(options, 'html');
			const {runTimelineCommand} = await import('./timeline-command.js');
			return runTimelineCommand({
				connection, filter, htmlFile, json: isFlagSet(options, 'json'),
			}, output);
		});

	withConnection(cli.command('replay', 'Make every recorded placement decision again and report differences'))
		.option('--json', 'Print the report as JSON')
		.action(async (options: Options) => {
			const connection = readConnectionOptions(options);
			const {replayFunctions} = await import('./replay-functions.js');
			const {runReplayCommand} = await import('./replay-command.js');
			return runReplayCommand({connection, functions: replayFunctions, json: isFlagSet(options, 'json')}, output);
		});

	cli.command('check-settings <FILE>', 'Check a settings file of an entry, an agent or a deployment')
		.option('--json', 'Print the problems as JSON')
		.action(async (file: unknown, options: Options) => {
			const {runCheckSettingsCommand} = await import('./check-settings-command.js');
			return runCheckSettingsCommand({file: unmarkedText(file) ?? '', json: isFlagSet(options, 'json')}, output);
		});

	cli.command('check-configuration <FILE>', 'Check an operator\'s configuration before it is sent to the platform\'s store')
		.option('--against <FILE>', 'File that holds the configuration in force; differences from it are printed')
		.option('--json', 'Print the problems and differences as JSON')
		.example(name => `  $ ${name} check-configuration next.json --against current.json`)
		.action(async (file: unknown, options: Options) => {
			const againstFile = readOption(options, 'against');
			const [{checkConfiguration}, {runCheckConfigurationCommand}] = await Promise.all([
				import('../../platform/check-configuration.js'), import('./check-configuration-command.js'),
			]);
			return runCheckConfigurationCommand({file: unmarkedText(file) ?? '', againstFile, json: isFlagSet(options, 'json')}, checkConfiguration, output);
		});

	cli.option('-v, --version', 'Print the version');
	cli.help();
	return cli;
}

function withConnection(command: Command): Command {
	return command
		.option('--entry <ADDRESS>', 'Operator address of an entry as IP:PORT; may be given several times')
		.option('--token-file <FILE>', 'File that holds the operators\' token');
}

function readConnectionOptions(options: Options): ConnectionOptions {
	const given: unknown = options.entry;
	const entryAddresses = (Array.isArray(given) ? given : [given]).map(address => unmarkedText(address)).filter(address => address !== undefined);
	if (entryAddresses.length === 0) {
		throw new UsageError('--entry ADDRESS is missing');
	}

	for (const address of entryAddresses) {
		if (!ADDRESS_PATTERN.test(address)) {
			throw new UsageError(`--entry ${address}: use an IP number and a port, such as 127.0.0.1:7003`);
		}
	}

	return {entryAddresses, tokenFile: readRequiredOption(options, 'token-file')};
}

function readRequiredOption(options: Options, name: string): string {
	const value = readOption(options, name);
	if (value === undefined) {
		throw new UsageError(`--${name} is missing`);
	}

	return value;
}

function readOption(options: Options, name: string): string | undefined {
	const value = options[name.replaceAll(/-(?<letter>[a-z])/gv, (_, letter: string) => letter.toUpperCase())];
	if (value === undefined) {
		return undefined;
	}

	if (Array.isArray(value)) {
		throw new UsageError(`--${name} is given more than once`);
	}

	const text = unmarkedText(value);
	if (text === undefined || text === '') {
		throw new UsageError(`--${name} has no value`);
	}

	return text;
}

function readTimeOptionMs(options: Options, name: string): number | undefined {
	const text = readOption(options, name);
	if (text === undefined) {
		return undefined;
	}

	const timeMs = /^\d+$/v.test(text) ? Number(text) : Date.parse(text);
	if (Number.isNaN(timeMs)) {
		throw new UsageError(`--${name} ${text}: use a time such as 2026-01-01T00:00:00Z`);
	}

	return timeMs;
}

function isFlagSet(options: Options, name: string): boolean {
	return options[name] === true;
}

function unmarkedText(value: unknown): string | undefined {
	return typeof value === 'string' || typeof value === 'number' ? String(value).replaceAll(TEXT_MARKER, '') : undefined;
}

function markNumericText(argument: string): string {
	const match = /^(?<name>--[^=]+=)?(?<value>.*)$/sv.exec(argument);
	const value = match?.groups?.value ?? '';
	return value.startsWith('-') || !Number.isFinite(Number(value)) ? argument : `${match?.groups?.name ?? ''}${TEXT_MARKER}${value}`;
}
