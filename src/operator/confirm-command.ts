import {
	type CommandOutput, type ExitStatus, failCommand, failWithSettingsProblems, replaceControlCharacters,
} from './command-output.js';
import {readPlan} from './read-document.js';
import {type ConnectionOptions, withClient} from './with-client.js';

export type ConfirmOptions = Readonly<{connection: ConnectionOptions; planFile: string; json: boolean}>;

/**
Confirms a plan. The status is 0 only when the plan was accepted; confirming the same file again is safe.

@example
await runConfirmCommand({connection, planFile: 'plan.json', json: false}, output);
*/
export async function runConfirmCommand(options: ConfirmOptions, output: CommandOutput): Promise<ExitStatus> {
	const read = await readPlan(options.planFile);
	if (read.isErr) {
		return failWithSettingsProblems(output, read.error);
	}

	return withClient(options.connection, output, async client => {
		const confirmed = await client.confirm(read.value);
		if (confirmed.isErr) {
			return failCommand(output, confirmed.error);
		}

		const confirmation = confirmed.value;
		const {planId, result, offset} = confirmation;
		const reason = replaceControlCharacters(confirmation.reason);
		if (options.json) {
			output.print(JSON.stringify(confirmation));
		} else if (result === 'accepted') {
			output.print(`Plan ${planId} was accepted at offset ${offset}.`);
		}

		if (result === 'rejected' && offset === -1) {
			return failCommand(output, {
				kind: 'plan-not-written',
				message: `plan ${planId}: ${reason}`,
				remedy: 'confirm the same plan again once `arbutushinge status` shows the log as reachable; if it has expired, make a new plan',
			});
		}

		if (result === 'rejected') {
			return failCommand(output, {kind: 'plan-rejected', message: `plan ${planId}: ${reason}`, remedy: 'make a new plan and confirm that one'});
		}

		return result === 'unknown'
			? failCommand(output, {kind: 'confirmation-unknown', message: `plan ${planId}: ${reason}`, remedy: 'confirm the same plan again; that is safe'})
			: 0;
	});
}
