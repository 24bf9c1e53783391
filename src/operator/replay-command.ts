import {
	type CommandOutput, type ExitStatus, failCommand, printable,
} from './command-output.js';
import {MAXIMUM_RECORDS} from './operator-api.js';
import {type ReplayFunctions, startReplay} from './replay-records.js';
import {type ConnectionOptions, withClient} from './with-client.js';

export type ReplayOptions = Readonly<{connection: ConnectionOptions; functions: ReplayFunctions; json: boolean}>;

/**
Reads all records from the log through an entry and makes every placement decision again. The status is 1 when one differs.

@example
await runReplayCommand({connection, functions, json: false}, output);
*/
export async function runReplayCommand(options: ReplayOptions, output: CommandOutput): Promise<ExitStatus> {
	return withClient(options.connection, output, async client => {
		const replay = startReplay(options.functions);
		let nextOffset = 0;
		let tailOffset: number;
		do {
			const page = await client.records(nextOffset, MAXIMUM_RECORDS);
			if (page.isErr) {
				return failCommand(output, page.error);
			}

			const {records, firstRetainedOffset} = page.value;
			if (firstRetainedOffset > nextOffset) {
				return failCommand(output, {
					kind: 'records-not-retained',
					message: `the log holds records from offset ${firstRetainedOffset} on, but offset ${nextOffset} is needed`,
					remedy: 'replay within the retention of the log',
				});
			}

			replay.add(records);
			tailOffset = page.value.tailOffset;
			if (page.value.nextOffset <= nextOffset) {
				break;
			}

			nextOffset = page.value.nextOffset;
		} while (nextOffset < tailOffset);

		const report = replay.report();
		if (options.json) {
			output.print(JSON.stringify(report, undefined, '\t'));
		} else {
			output.print(`${report.decisions} decisions up to offset ${report.lastOffset}, ${report.skipped} skipped, ${report.differences.length} differences`);
			for (const {offset, taskId, field, recorded, replayed} of report.differences) {
				output.print(printable(`offset ${offset}: ${taskId}: ${field} was ${recorded}, is now ${replayed}`));
			}
		}

		return report.differences.length === 0 ? 0 : 1;
	});
}
