import {writeSync} from 'node:fs';
import process from 'node:process';
import cac from 'cac';
import {createBackendServerStandIn} from './backend-server-stand-in.js';
import {runCallerLoad} from './caller-load.js';
import {journalLinePrefix} from './journal.js';
import {createLogServiceStandIn} from './log-service-stand-in.js';
import {createWorkerStandIn} from './worker-stand-in.js';

type Options = Readonly<Record<string, string | number | undefined>>;

// Written synchronously, since a buffered journal line would be lost if the process exits right after it.
function printLine(line: string): void {
	writeSync(1, `${line}\n`);
}

function printJournal(journal: unknown): void {
	printLine(journalLinePrefix + JSON.stringify(journal));
}

function numberOf(options: Options, name: string): number | undefined {
	const value = options[name];
	return value === undefined ? undefined : Number(value);
}

function textOf(options: Options, name: string): string | undefined {
	const value = options[name];
	return value === undefined ? undefined : String(value);
}

function requiredTextOf(options: Options, name: string): string {
	const value = textOf(options, name);
	if (value === undefined) {
		throw new Error(`the option --${name.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`)} is missing`);
	}

	return value;
}

function onStop(stop: () => Promise<void>): void {
	let stopping: Promise<void> | undefined;
	const stopOnce = (): void => {
		stopping ??= stop();
	};

	process.on('SIGTERM', stopOnce);
	process.on('SIGINT', stopOnce);
}

async function runLogService(options: Options): Promise<void> {
	const log = await createLogServiceStandIn({
		port: numberOf(options, 'port'),
		appendsPerSecond: numberOf(options, 'appendsPerSecond'),
		retention: {maxRecords: numberOf(options, 'retentionRecords') ?? 100_000, maxAgeMs: numberOf(options, 'retentionMs') ?? 600_000},
	});
	onStop(log.close);
	printLine(`ready url=${log.url}`);
}

async function runWorker(options: Options): Promise<void> {
	const worker = await createWorkerStandIn({
		port: numberOf(options, 'port'),
		workerId: textOf(options, 'id'),
		capacity: {
			processorsMilli: numberOf(options, 'processorsMilli') ?? 16_000,
			memoryMb: numberOf(options, 'memoryMb') ?? 60_000,
			accelerators: numberOf(options, 'accelerators') ?? 0,
		},
		usageLagMs: numberOf(options, 'usageLagMs'),
		onRun(run) {
			printLine(`run ${JSON.stringify(run)}`);
		},
	});
	onStop(async () => {
		printJournal(worker.journal());
		await worker.close();
	});
	printLine(`ready url=${worker.url}`);
}

async function runBackendServer(options: Options): Promise<void> {
	const backendServer = await createBackendServerStandIn({
		port: numberOf(options, 'port'),
		backendServerId: textOf(options, 'id'),
		service: textOf(options, 'service'),
		agentUrl: textOf(options, 'agentUrl'),
		slots: numberOf(options, 'slots'),
		connections: numberOf(options, 'connections'),
		serviceTimeMs: numberOf(options, 'serviceTimeMs'),
		networkDelayMs: numberOf(options, 'networkDelayMs'),
		workerUrl: textOf(options, 'workerUrl'),
		workKind: textOf(options, 'workKind'),
	});
	onStop(async () => {
		const isDrained = await backendServer.leave();
		printJournal(backendServer.journal());
		process.exitCode = isDrained ? 0 : 1;
	});
	printLine(`ready url=${backendServer.url}`);
}

async function runCaller(options: Options): Promise<void> {
	const stopping = new AbortController();
	onStop(async () => {
		stopping.abort();
	});
	printLine('ready');
	const journal = await runCallerLoad({
		entries: requiredTextOf(options, 'entries').split(','),
		service: requiredTextOf(options, 'service'),
		name: textOf(options, 'id'),
		seed: numberOf(options, 'seed'),
		requests: numberOf(options, 'requests'),
		concurrency: numberOf(options, 'concurrency'),
		pauseMs: numberOf(options, 'pauseMs'),
		ordersMilli: numberOf(options, 'ordersMilli'),
		largeMilli: numberOf(options, 'largeMilli'),
		priority: textOf(options, 'priority'),
		clientDelayMs: numberOf(options, 'clientDelayMs'),
		signal: stopping.signal,
	});
	printJournal(journal);
	process.exitCode = journal.wrong === 0 ? 0 : 1;
}

const cli = cac('stand-ins');

cli.command('log-service', 'Run the append-only log service')
	.option('--port <port>', 'Port on 127.0.0.1; 0 takes a free one')
	.option('--appends-per-second <count>', 'Rate limit; appends beyond it are answered 429')
	.option('--retention-records <count>', 'Records that each stream keeps')
	.option('--retention-ms <ms>', 'How long each stream keeps a record')
	.action(runLogService);

cli.command('worker', 'Run a worker')
	.option('--port <port>', 'Port on 127.0.0.1; 0 takes a free one')
	.option('--id <id>', 'Name in the journal')
	.option('--processors-milli <count>', 'Processors in thousandths')
	.option('--memory-mb <mb>', 'Memory')
	.option('--accelerators <count>', 'Accelerators')
	.option('--usage-lag-ms <ms>', 'Age of the newest usage report')
	.action(runWorker);

cli.command('backend-server', 'Run a backend server')
	.option('--port <port>', 'Port on 127.0.0.1; 0 takes a free one')
	.option('--id <id>', 'Identifier that it announces')
	.option('--service <service>', 'Service that it announces')
	.option('--agent-url <url>', 'Where its agent takes announcements')
	.option('--slots <count>', 'Requests that it handles at once')
	.option('--connections <count>', 'Connections that it takes')
	.option('--service-time-ms <ms>', 'Time that each request takes')
	.option('--network-delay-ms <ms>', 'Round trip that is added to each answer')
	.option('--worker-url <url>', 'Worker on the same VM, whose tasks slow the server down')
	.option('--work-kind <kind>', 'Kind of the server in the worker\'s table of harm')
	.action(runBackendServer);

cli.command('caller-load', 'Send a mixed load and check every answer')
	.option('--entries <addresses>', 'Callers\' addresses of the entries, separated by commas')
	.option('--service <service>', 'Service to call')
	.option('--id <id>', 'Prefix of the request identifiers')
	.option('--seed <seed>', 'Seed of the mix and the bodies')
	.option('--requests <count>', 'Requests to send; without it until SIGTERM')
	.option('--concurrency <count>', 'Requests in flight at once')
	.option('--pause-ms <ms>', 'Pause after each request')
	.option('--orders-milli <count>', 'Part of keyed orders in thousandths')
	.option('--large-milli <count>', 'Part of large bodies in thousandths')
	.option('--priority <class>', 'Priority class of all requests')
	.option('--client-delay-ms <ms>', 'One-way delay to the entries')
	.action(runCaller);

cli.help();

try {
	cli.parse(process.argv, {run: false});
	if (cli.matchedCommand) {
		await cli.runMatchedCommand();
	} else if (!cli.options.help) {
		cli.outputHelp();
		process.exitCode = 2;
	}
} catch (error) {
	process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	process.exitCode = 2;
}
