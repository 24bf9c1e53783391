import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {runCommandLine} from './run-command-line.js';

const directory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-'));

async function fileWith(name: string, value: unknown): Promise<string> {
	const file = path.join(directory, name);
	await writeFile(file, JSON.stringify(value));
	return file;
}

async function run(...options: readonly string[]) {
	const printed: string[] = [];
	const errors: string[] = [];
	const status = await runCommandLine(['node', 'arbutushinge', 'check-configuration', ...options], {
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

const valid = await fileWith('valid.json', {version: 8});
const inForce = await fileWith('in-force.json', {version: 7, limits: {idleTimeoutMs: 9000}});
const warned = await fileWith('warned.json', {version: 8, limit: {}});
const control = await fileWith('control.json', {version: 8, services: [{name: '\u001B[2J'}, {name: '\u001B[2J'}]});

test('a configuration with an error fails with status 1, and one with warnings only does not', async t => {
	t.deepEqual(await run(valid), {status: 0, printed: `${valid}: version 8, errors: 0, warnings: 0`, errors: ''});
	const {status, errors} = await run(warned);
	t.deepEqual([status, errors], [0, `${warned}: warning: field-unknown: limit: entries do not know this field and ignore it; remedy: rename it to limits if that is meant`]);
	t.like(await run(valid, '--against', valid), {status: 1});
});

test('differences are printed as a table, and as JSON with their values', async t => {
	const {printed} = await run(valid, '--against', inForce);
	t.is(printed, [
		`Differences from ${inForce}, version 7: 2`,
		'change   subject        field          before  after',
		'changed  configuration  version        7       8',
		'changed  limits         idleTimeoutMs  9000    15000',
		`${valid}: version 8, errors: 0, warnings: 0`,
	].join('\n'));
	const json = await run(valid, '--against', inForce, '--json');
	t.like(JSON.parse(json.printed), {
		valid: true, version: 8, againstVersion: 7, problems: [], differences: [{after: 8}, {before: 9000, after: 15_000}],
	});
});

test('a file that cannot be read or decoded is named, also as JSON', async t => {
	const none = path.join(directory, 'none.json');
	for (const options of [[none], [valid, '--against', none]]) {
		const {status, printed} = await run(...options, '--json');
		t.is(status, 1);
		t.like(JSON.parse(printed), {valid: false, problems: [{kind: 'configuration-unreadable', file: none}]});
	}
});

test('text from the file cannot control the terminal', async t => {
	const {status, errors} = await run(control);
	t.is(status, 1);
	t.false(errors.includes('\u001B'));
	t.true(errors.includes('\uFFFD[2J'));
});

for (const options of [[], [valid, '--against'], [valid, '--against', inForce, '--against', inForce], [valid, '--entry', '127.0.0.1:7003'], [valid, inForce]]) {
	test(`wrong usage ends with status 2: ${options.map(option => path.basename(option)).join(' ') || 'no file'}`, async t => {
		const {status, errors} = await run(...options);
		t.is(status, 2);
		t.regex(errors, /^wrong usage: .+; remedy: /v);
	});
}
