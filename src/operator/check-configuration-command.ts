import {type Result} from 'true-myth/result';
import {formatError} from '../errors/typed-error.js';
import {readSettingsFile, type SettingsError} from '../settings/load-settings.js';
import {boundedText} from '../validation/bounded-text.js';
import {type CommandOutput, type ExitStatus, replaceControlCharacters} from './command-output.js';
import {
	type CheckConfiguration, type ConfigurationCheck, type ConfigurationDifference, type ConfigurationProblem,
} from './configuration-check.js';
import {renderTable} from './render-table.js';

/** Larger than a configuration with the most routes that an entry takes. */
const maxFileBytes = 16_777_216;

/** Result for a file that cannot be read. */
const notChecked: ConfigurationCheck = {
	version: undefined, problems: [], againstVersion: undefined, againstProblems: [], differences: [],
};

type FileProblem = ConfigurationProblem & Readonly<{file: string}>;

export type CheckConfigurationOptions = Readonly<{
	file: string;
	/** File that holds the configuration in force. */
	againstFile: string | undefined;
	json: boolean;
}>;

/**
Checks an operator's configuration before it is sent. Prints every problem with its path and remedy, and the differences from the configuration in force.
Returns 1 when there is an error or a file cannot be read; warnings alone do not fail the check.

@example
await runCheckConfigurationCommand({file: 'next.json', againstFile: 'current.json', json: false}, checkConfiguration, output);
*/
export async function runCheckConfigurationCommand(options: CheckConfigurationOptions, check: CheckConfiguration, output: CommandOutput): Promise<ExitStatus> {
	const {file, againstFile, json} = options;
	const text = await readSettingsFile(file, maxFileBytes);
	const against = againstFile === undefined ? undefined : await readSettingsFile(againstFile, maxFileBytes);
	const {version, problems, againstVersion, againstProblems, differences} = text.isOk
		? check(text.value, against?.unwrapOr(undefined))
		: notChecked;
	const fileProblems: readonly FileProblem[] = [
		...[...unreadableProblems(text), ...problems].map(problem => ({...problem, file})),
		...[...unreadableProblems(against), ...againstProblems].map(problem => ({...problem, file: againstFile ?? ''})),
	];
	const errors = fileProblems.filter(({severity}) => severity === 'error').length;
	const status = errors === 0 ? 0 : 1;
	if (json) {
		output.print(JSON.stringify({
			file,
			version: version ?? null,
			against: againstFile ?? null,
			againstVersion: againstVersion ?? null,
			valid: status === 0,
			problems: fileProblems,
			differences,
		}));
		return status;
	}

	for (const problem of fileProblems) {
		output.printError(replaceControlCharacters(formatProblem(problem)));
	}

	if (version !== undefined && againstVersion !== undefined) {
		output.print(`Differences from ${againstFile}, version ${againstVersion}: ${differences.length === 0 ? 'none' : differences.length}`);
		if (differences.length > 0) {
			output.print(renderTable(['change', 'subject', 'field', 'before', 'after'], differences.map(difference => toRow(difference))));
		}
	}

	output.print(`${file}: ${version === undefined ? 'not a configuration' : `version ${version}`}, errors: ${errors}, warnings: ${fileProblems.length - errors}`);
	return status;
}

function unreadableProblems(read: Result<string, SettingsError> | undefined): readonly ConfigurationProblem[] {
	return read?.isErr
		? [{
			severity: 'error', kind: 'configuration-unreadable', path: '', message: read.error.message, remedy: 'name an existing, readable JSON file in UTF-8',
		}]
		: [];
}

function formatProblem({file, severity, path, kind, message, remedy}: FileProblem): string {
	return `${file}: ${severity}: ${formatError({kind, message: path === '' ? message : `${path}: ${message}`, remedy})}`;
}

function toRow({change, subject, field = '', before, after}: ConfigurationDifference): readonly string[] {
	return [change, subject, field, ...[before, after].map(value => value === undefined ? '' : boundedText(JSON.stringify(value)))];
}
