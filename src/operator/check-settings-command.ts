import {z} from 'zod';
import {parseSettings, readSettingsFile} from '../settings/load-settings.js';
import {isSettingsRole, settingsSchemas} from '../settings/settings-schemas.js';
import {type CommandOutput, type ExitStatus, failWithSettingsProblems} from './command-output.js';

const roleSchema = z.looseObject({role: z.enum(['entry', 'agent', 'deployment']).describe('Role that this file is for')});

/**
Checks a settings file of any role and prints every problem with its file, line, field and remedy.

@example
await runCheckSettingsCommand({file: 'entry.yaml', json: false}, output);
*/
export async function runCheckSettingsCommand(options: Readonly<{file: string; json: boolean}>, output: CommandOutput): Promise<ExitStatus> {
	const {file, json} = options;
	const text = await readSettingsFile(file);
	const role = text.andThen(content => parseSettings(content, file, roleSchema)).map(value => value.role);
	const schema = role.isOk && isSettingsRole(role.value) ? await settingsSchemas[role.value]() : roleSchema;
	const checked = text.andThen(content => parseSettings<z.core.$ZodType>(content, file, schema));
	if (json) {
		output.print(JSON.stringify({
			file, role: role.unwrapOr(null), valid: checked.isOk, problems: checked.isErr ? checked.error.problems : [],
		}));
		return checked.isOk ? 0 : 1;
	}

	if (checked.isErr) {
		return failWithSettingsProblems(output, checked.error);
	}

	output.print(`${file}: valid ${role.unwrapOr('entry')} settings`);
	return 0;
}
