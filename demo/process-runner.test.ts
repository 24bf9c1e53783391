import process from 'node:process';
import test from 'ava';
import {createProcessRunner, waitUntil} from './process-runner.js';

const timeoutMs = 60_000;

test('a line that a process prints is found, and SIGTERM ends the process gracefully', async t => {
	const runner = createProcessRunner();
	t.teardown(runner.killAll);
	const log = runner.start('log', ['stand-ins/main.ts', 'log-service']);
	const match = await log.waitForLine(/^ready url=(\S+)$/v, timeoutMs);
	t.regex(match[1] ?? '', /^http:\/\/127\.0\.0\.1:\d+$/v);
	log.terminate();
	t.deepEqual(await log.waitForExit(timeoutMs), {code: 0, signal: undefined});
});

test('a paused process that is killed is reported with its signal, not as ended gracefully', async t => {
	const runner = createProcessRunner();
	t.teardown(runner.killAll);
	const log = runner.start('log', ['stand-ins/main.ts', 'log-service']);
	await log.waitForLine(/^ready/v, timeoutMs);
	log.pause();
	log.terminate();
	t.is(log.exit(), undefined);
	log.kill();
	t.deepEqual(await log.waitForExit(timeoutMs), {code: undefined, signal: 'SIGKILL'});
});

test('a wait for a line fails when the process ends without printing it', async t => {
	const runner = createProcessRunner();
	t.teardown(runner.killAll);
	const broken = runner.start('broken', ['stand-ins/main.ts', 'no-such-command']);
	await t.throwsAsync(broken.waitForLine(/^ready/v, timeoutMs), {message: /^broken ended with code 2/v});
});

test('`killAll` leaves no process running and none can be started afterwards', async t => {
	const runner = createProcessRunner();
	const log = runner.start('log', ['stand-ins/main.ts', 'log-service']);
	await log.waitForLine(/^ready/v, timeoutMs);
	await runner.killAll();
	t.throws(() => process.kill(log.pid, 0), {code: 'ESRCH'});
	t.throws(() => runner.start('late', ['stand-ins/main.ts', 'log-service']), {message: /closed/v});
});

test('the error of a wait that times out contains the description of the wait', async t => {
	await t.throwsAsync(waitUntil('a value appears', 0, () => undefined), {message: /a value appears/v});
});
