import {type CommandOutput, type ExitStatus, failCommand} from './command-output.js';
import {createOperatorClient, type OperatorClient} from './operator-client.js';
import {readTokenFile} from './read-token-file.js';

/** How a command reaches the entries. */
export type ConnectionOptions = Readonly<{
	/** Operator addresses of entries; the next one is tried when one does not answer. */
	entryAddresses: readonly string[];
	tokenFile: string;
}>;

/**
Runs a command with a client that is closed afterwards.

@example
await withClient(connection, output, async client => {
	const status = await client.status();
	return status.isOk ? 0 : failCommand(output, status.error);
});
*/
export async function withClient(
	connection: ConnectionOptions,
	output: CommandOutput,
	run: (client: OperatorClient) => Promise<ExitStatus>,
): Promise<ExitStatus> {
	const token = await readTokenFile(connection.tokenFile);
	if (token.isErr) {
		return failCommand(output, token.error);
	}

	const client = createOperatorClient({addresses: connection.entryAddresses, token: token.value});
	try {
		return await run(client);
	} finally {
		await client.close();
	}
}
