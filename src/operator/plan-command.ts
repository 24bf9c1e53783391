import {writeFile} from 'node:fs/promises';
import {type Intent} from '../cluster/intent.js';
import {messageOf} from '../errors/message-of.js';
import {
	type CommandOutput, type ExitStatus, failCommand, failWithSettingsProblems, replaceControlCharacters,
} from './command-output.js';
import {readIntent} from './read-document.js';
import {type ConnectionOptions, withClient} from './with-client.js';

export type PlanOptions = Readonly<{
	connection: ConnectionOptions;
	/** An intent, or the file that holds it. */
	intent: Intent | Readonly<{file: string}>;
	json: boolean;
	/** File that the plan is written to, for `confirm`. */
	outputFile: string | undefined;
}>;

/**
Requests a plan from an entry and prints it; nothing changes until the plan is confirmed.

@example
await runPlanCommand({connection, intent: {kind: 'drain-vm', vmId: 'vm-3'}, json: true, outputFile: undefined}, output);
*/
export async function runPlanCommand(options: PlanOptions, output: CommandOutput): Promise<ExitStatus> {
	let intent: Intent;
	if ('file' in options.intent) {
		const read = await readIntent(options.intent.file);
		if (read.isErr) {
			return failWithSettingsProblems(output, read.error);
		}

		intent = read.value;
	} else {
		intent = options.intent;
	}

	return withClient(options.connection, output, async client => {
		const planned = await client.computePlan(intent);
		if (planned.isErr) {
			return failCommand(output, planned.error);
		}

		const plan = planned.value;
		const text = JSON.stringify({plan}, undefined, '\t');
		if (options.outputFile !== undefined) {
			try {
				await writeFile(options.outputFile, `${text}\n`);
			} catch (error) {
				return failCommand(output, {kind: 'plan-unwritable', message: messageOf(error), remedy: 'name a file that can be written with --output'});
			}
		}

		if (options.json) {
			output.print(text);
			return 0;
		}

		output.print(`Plan ${plan.planId}: ${plan.intent.kind}, computed at offset ${plan.baseOffset}, expires ${new Date(plan.expiresAtMs).toISOString()}`);
		for (const line of plan.summary) {
			output.print(`  ${replaceControlCharacters(line)}`);
		}

		output.print(options.outputFile === undefined
			? 'Nothing has changed. Repeat with --output FILE to keep the plan, then confirm --plan FILE.'
			: `Nothing has changed. Confirm it with: confirm --plan ${options.outputFile}`);
		return 0;
	});
}
