import {mkdtemp, readFile, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {ok} from 'true-myth/result';
import {type OperatorServer, startOperatorServer} from '../entry/operator-server.js';
import {type EventLog} from '../telemetry/event-log.js';
import {runCommandLine} from './run-command-line.js';
import {emptyStateFixture, planFixture} from './state-fixture.js';

const token = 'test-token-0123456789';

const ignore = (): void => undefined;

const eventLog: EventLog = {
	debug: ignore, info: ignore, warn: ignore, error: ignore,
};

const startServer = async (result: 'accepted' | 'rejected' = 'accepted'): Promise<OperatorServer> => startOperatorServer({
	address: '127.0.0.1:0',
	token,
	eventLog,
	backend: {
		state: () => emptyStateFixture,
		computePlan: intent => ok({...planFixture, intent}),
		confirm: async plan => ({
			planId: plan.planId, result, offset: 21, reason: result === 'accepted' ? '' : 'vm/vm-1 changed',
		}),
		liveness: () => ({
			appliedOffsetByVm: {}, appliedOffsetByEntry: {}, logReachable: true, tailAgeMs: 5,
		}),
		timeline: async () => [{
			process: 'entry/e1', sequence: 0, wallTimeMs: 1000, event: 'started', offset: -1, taskId: '007',
		}],
		records: async () => ok({
			records: [], nextOffset: 0, tailOffset: 0, firstRetainedOffset: 0, skipped: 0,
		}),
		snapshot: async () => ok({snapshot: null}),
		explainRequest: id => id === '1e3' ? ['Request 1e3 was sent.'] : undefined,
		encodeState: () => new Uint8Array(),
	},
});

type Run = Readonly<{status: number; printed: string; errors: string}>;

async function run(...options: readonly string[]): Promise<Run> {
	const printed: string[] = [];
	const errors: string[] = [];
	const status = await runCommandLine(['node', 'arbutushinge', ...options], {
		output: {
			print(text) {
				printed.push(text);
			},
			printError(text) {
				errors.push(text);
			},
		},
		listenForStop: async () => 'SIGTERM',
	});
	return {status, printed: printed.join('\n'), errors: errors.join('\n')};
}

const directory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-'));
const tokenFile = path.join(directory, 'operator.token');
await writeFile(tokenFile, `${token}\n`);
const connection = (server: OperatorServer): readonly string[] => ['--entry', `127.0.0.1:${server.port}`, '--token-file', tokenFile];

const wrongUsage: ReadonlyArray<readonly string[]> = [
	[],
	['bogus'],
	['status', '--bogus'],
	['status', '--entry'],
	['status', '--entry', 'localhost', '--token-file', tokenFile],
	['status', '--token-file', tokenFile],
	['status', '--entry', '127.0.0.1:1'],
	['status', 'surplus', '--entry', '127.0.0.1:1', '--token-file', tokenFile],
	['explain', '--entry', '127.0.0.1:1', '--token-file', tokenFile],
	['plan', '--entry', '127.0.0.1:1', '--token-file', tokenFile],
	['plan', '--entry', '127.0.0.1:1', '--token-file', tokenFile, '--drain-vm', 'a', '--return-vm', 'b'],
	['plan', '--entry', '127.0.0.1:1', '--token-file', tokenFile, '--drain-vm', 'a b'],
	['timeline', '--entry', '127.0.0.1:1', '--token-file', tokenFile, '--from', 'yesterday'],
	['entry'],
	['agent', '--settings'],
	['check-settings'],
	['check-settings', 'a.yaml', '--', 'b'],
];

for (const options of wrongUsage) {
	test(`wrong usage ends with status 2: ${options.join(' ').replace(tokenFile, 'FILE') || 'no command'}`, async t => {
		const {status, errors} = await run(...options);
		t.is(status, 2);
		t.regex(errors, /^wrong usage: .+; remedy: /v);
	});
}

test('a version request succeeds for every command', async t => {
	t.like(await run('--version'), {status: 0});
	for (const command of ['entry', 'agent', 'plan', 'confirm', 'status', 'explain', 'timeline', 'replay', 'check-settings', 'check-configuration']) {
		t.like(await run(command, '--version'), {status: 0});
	}
});

test('a plan that was written to a file can be confirmed from it', async t => {
	const server = await startServer();
	const planFile = path.join(directory, 'plan.json');
	t.like(await run('plan', ...connection(server), '--drain-vm', '007', '--output', planFile), {status: 0});
	t.like(JSON.parse(await readFile(planFile, 'utf8')), {plan: {intent: {kind: 'drain-vm', vmId: '007'}}});
	t.like(await run('confirm', ...connection(server), '--plan', planFile), {status: 0, printed: 'Plan plan-1 was accepted at offset 21.'});
	await server.close();
});

test('a rejected plan ends with status 1 and an error that names the remedy', async t => {
	const server = await startServer('rejected');
	const planFile = path.join(directory, 'rejected.json');
	await writeFile(planFile, JSON.stringify({plan: planFixture}));
	const {status, errors} = await run('confirm', ...connection(server), '--plan', planFile);
	t.is(status, 1);
	t.is(errors, 'plan-rejected: plan plan-1: vm/vm-1 changed; remedy: make a new plan and confirm that one');
	await server.close();
});

test('an entry that does not answer, a wrong token and a missing file end with status 1', async t => {
	const server = await startServer();
	const otherToken = path.join(directory, 'other.token');
	await writeFile(otherToken, 'another-token-0123456789');
	t.like(await run('status', '--entry', '127.0.0.1:1', '--token-file', tokenFile), {status: 1});
	t.like(await run('status', '--entry', `127.0.0.1:${server.port}`, '--token-file', otherToken), {status: 1});
	t.like(await run('status', '--entry', `127.0.0.1:${server.port}`, '--token-file', path.join(directory, 'none')), {status: 1});
	t.like(await run('check-settings', path.join(directory, 'none')), {status: 1});
	await server.close();
});

test('the next entry answers when the first does not', async t => {
	const server = await startServer();
	const {status, printed} = await run('status', '--entry', '127.0.0.1:1', ...connection(server), '--json');
	t.is(status, 0);
	t.like(JSON.parse(printed), {log: {reachable: true}});
	await server.close();
});

test('an identifier that looks like a number is not converted to one', async t => {
	const server = await startServer();
	t.like(await run('explain', '1e3', ...connection(server)), {status: 0, printed: 'Request 1e3 was sent.'});
	const {printed} = await run('timeline', ...connection(server), '--task=007');
	t.regex(printed, /task=007/v);
	await server.close();
});

test('a page of the timeline is written to a file', async t => {
	const server = await startServer();
	const htmlFile = path.join(directory, 'timeline.html');
	t.like(await run('timeline', ...connection(server), '--html', htmlFile), {status: 0});
	t.regex(await readFile(htmlFile, 'utf8'), /^<!doctype html>/v);
	await server.close();
});
