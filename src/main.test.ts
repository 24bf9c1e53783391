import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {stringify} from 'yaml';
import {findFreeAddresses} from '../demo/free-addresses.js';
import {createProcessRunner} from '../demo/process-runner.js';

test('the second SIGTERM ends a process at once with status 1, without its graceful stop', async t => {
	const directory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-main-'));
	const runner = createProcessRunner();
	t.teardown(async () => {
		await runner.killAll();
		await rm(directory, {recursive: true, force: true});
	});
	const addresses = await findFreeAddresses(4);
	const tokenFile = path.join(directory, 'token');
	await writeFile(tokenFile, 'private-operator-token\n');
	const settings = path.join(directory, 'entry.yaml');
	await writeFile(settings, stringify({
		role: 'entry',
		entryId: 'entry-1',
		failureDomain: 'a',
		callerAddress: addresses[0],
		operatorAddress: addresses[1],
		agentAddress: addresses[2],
		operatorTokenFile: tokenFile,
		logServiceUrl: `http://${addresses[3]}`,
		logLevel: 'debug',
		// Longer than the timeouts of this test, so that only the second signal can end the process.
		timings: {shutdownDelayMs: 600_000},
	}));
	const entry = runner.start('entry', ['src/main.ts', 'entry', '--settings', settings]);
	await entry.waitForLine(/event=process-started/v, 60_000);
	entry.terminate();
	await entry.waitForLine(/event=entry-stopping/v, 60_000);
	t.is(entry.exit(), undefined);
	entry.terminate();
	const {code} = await entry.waitForExit(60_000);
	t.is(code, 1);
	t.false(entry.lines().some(line => line.includes('event=entry-stopped')));
	t.deepEqual([...entry.lines(), ...entry.errorLines()].filter(line => line.includes('private-operator-token')), []);
});
