/* eslint-disable unicorn/no-process-exit -- This file is the command line; nothing else ends the process. */
import process from 'node:process';
import {runCommandLine} from './operator/run-command-line.js';

/** Resolves with the first stop signal, for a graceful stop; a second signal ends the process at once with status 1. */
async function listenForStop(): Promise<string> {
	return new Promise(resolve => {
		let received = 0;
		const onSignal = (signal: string): void => {
			received++;
			if (received > 1) {
				process.exit(1);
			}

			resolve(signal);
		};

		process.on('SIGTERM', onSignal);
		process.on('SIGINT', onSignal);
	});
}

async function main(): Promise<void> {
	let isRole = false;
	const status = await runCommandLine(process.argv, {
		output: {
			print(text) {
				process.stdout.write(`${text}\n`);
			},
			printError(text) {
				process.stderr.write(`${text}\n`);
			},
		},
		async listenForStop() {
			isRole = true;
			return listenForStop();
		},
	});
	process.exitCode = status;
	if (isRole) {
		// Handles that a stopped role leaves open, such as a connection held open by its peer, must not keep the process running.
		process.exit(status);
	}
}

// The binary holds a CommonJS bundle, which has no top-level await.
void main(); // eslint-disable-line unicorn/prefer-top-level-await
