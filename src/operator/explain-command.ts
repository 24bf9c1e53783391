import {
	type CommandOutput, type ExitStatus, failCommand, replaceControlCharacters,
} from './command-output.js';
import {type ConnectionOptions, withClient} from './with-client.js';

/**
Prints what was decided about a task, a plan, a key or a request, and why.

@example
await runExplainCommand({connection, subject: 'task-1', json: false}, output);
*/
export async function runExplainCommand(options: Readonly<{connection: ConnectionOptions; subject: string; json: boolean}>, output: CommandOutput): Promise<ExitStatus> {
	return withClient(options.connection, output, async client => {
		const explained = await client.explain(options.subject);
		if (explained.isErr) {
			return failCommand(output, explained.error);
		}

		output.print(options.json ? JSON.stringify(explained.value, undefined, '\t') : explained.value.lines.map(line => replaceControlCharacters(line)).join('\n'));
		return 0;
	});
}
