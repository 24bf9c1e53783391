import {type CommandOutput, type ExitStatus, failCommand} from './command-output.js';
import {renderStatus} from './render-status.js';
import {type ConnectionOptions, withClient} from './with-client.js';

/**
Prints the status of the cluster as one entry reports it.

@example
await runStatusCommand({connection, json: false}, output);
*/
export async function runStatusCommand(options: Readonly<{connection: ConnectionOptions; json: boolean}>, output: CommandOutput): Promise<ExitStatus> {
	return withClient(options.connection, output, async client => {
		const status = await client.status();
		if (status.isErr) {
			return failCommand(output, status.error);
		}

		output.print(options.json ? JSON.stringify(status.value, undefined, '\t') : renderStatus(status.value));
		return 0;
	});
}
