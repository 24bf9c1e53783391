import {err, ok, type Result} from 'true-myth/result';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type TypedError} from '../errors/typed-error.js';
import {
	type CommandOutput, type ExitStatus, failCommand, replaceControlCharacters,
} from './command-output.js';
import {MAXIMUM_RECORDS_PER_PAGE} from './operator-api.js';
import {type OperatorClient} from './operator-client.js';
import {type Replay, type ReplayFunctions, startReplay} from './replay-records.js';
import {type ConnectionOptions, withClient} from './with-client.js';

export type ReplayOptions = Readonly<{connection: ConnectionOptions; functions: ReplayFunctions; json: boolean}>;

/**
Reads the records of the log through an entry, recomputes every placement decision and prints the differences. When the first
records are past the log's retention, it starts from the newest snapshot. The status is 1 when a decision differs.

@example
await runReplayCommand({connection, functions, json: false}, output);
*/
export async function runReplayCommand(options: ReplayOptions, output: CommandOutput): Promise<ExitStatus> {
	return withClient(options.connection, output, async client => {
		const initialState = await findInitialState(client, options.functions);
		if (initialState.isErr) {
			return failCommand(output, initialState.error);
		}

		const replay = startReplay({...options.functions, initialState: initialState.value});
		const read = await replayRetainedRecords(client, replay, initialState.value.offset + 1);
		if (read.isErr) {
			return failCommand(output, read.error);
		}

		const report = replay.report();
		const startOffset = initialState.value.offset + 1;
		if (options.json) {
			output.print(JSON.stringify({startOffset, ...report}, undefined, '\t'));
		} else {
			if (startOffset > 0) {
				output.print(`Decisions below offset ${startOffset} cannot be replayed: their records are past the log's retention. Started from the snapshot that covers offset ${startOffset - 1}.`);
			}

			output.print(`${report.decisions} decisions up to offset ${report.lastOffset}, ${report.skipped} skipped, ${report.differences.length} differences`);
			for (const {offset, taskId, field, recorded, replayed} of report.differences) {
				output.print(replaceControlCharacters(`offset ${offset}: ${taskId}: ${field} was ${recorded}, is now ${replayed}`));
			}
		}

		return report.differences.length === 0 ? 0 : 1;
	});
}

/** Returns the state to start from: the initial one, or that of the newest snapshot when the first records are past the log's retention. */
async function findInitialState(client: OperatorClient, functions: ReplayFunctions): Promise<Result<ClusterState, TypedError>> {
	const {initialState, decodeState} = functions;
	const first = await client.records(0, 1);
	if (first.isErr) {
		return err(first.error);
	}

	const {firstRetainedOffset} = first.value;
	if (firstRetainedOffset <= initialState.offset + 1) {
		return ok(initialState);
	}

	const answer = await client.snapshot();
	if (answer.isErr) {
		return err(answer.error);
	}

	const {snapshot} = answer.value;
	if (snapshot === null || snapshot.coversOffset + 1 < firstRetainedOffset) {
		return err(recordsNotRetained(firstRetainedOffset, snapshot === null ? 'there is no snapshot' : `the newest snapshot covers offset ${snapshot.coversOffset}`));
	}

	return decodeState(snapshot.value);
}

async function replayRetainedRecords(client: OperatorClient, replay: Replay, startOffset: number): Promise<Result<void, TypedError>> {
	let nextOffset = startOffset;
	for (;;) {
		const page = await client.records(nextOffset, MAXIMUM_RECORDS_PER_PAGE);
		if (page.isErr) {
			return err(page.error);
		}

		const {records, firstRetainedOffset, tailOffset} = page.value;
		if (firstRetainedOffset > nextOffset) {
			return err(recordsNotRetained(firstRetainedOffset, `offset ${nextOffset} is needed`));
		}

		replay.add(records);
		if (page.value.nextOffset <= nextOffset || page.value.nextOffset >= tailOffset) {
			return ok(undefined);
		}

		nextOffset = page.value.nextOffset;
	}
}

function recordsNotRetained(firstRetainedOffset: number, detail: string): TypedError {
	return {
		kind: 'records-not-retained',
		message: `the log holds records from offset ${firstRetainedOffset} on, but ${detail}, so no decision can be replayed`,
		remedy: 'replay again after the next snapshot, and more often than the log forgets records',
	};
}
