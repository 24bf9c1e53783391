import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const startedAtMs = performance.now();
const lines = [];

/** Adds a line with the time since the start. */
export function log(line) {
	lines.push(`${((performance.now() - startedAtMs) / 1000).toFixed(2)} s  ${line}`);
}

/** Runs a case, writes what was logged to `record.txt` in its folder and sets the exit code: what `run` returns, or 2 if it fails. */
export async function runCase(directory, run) {
	let status = 2;
	try {
		status = await run();
	} catch (error) {
		log(`the case could not run: ${error.stack}`);
	}

	log(`exit ${status}`);
	writeFileSync(path.join(directory, 'record.txt'), `${lines.join('\n')}\n`);
	process.exitCode = status;
}
