import {formatProblem, type SettingsError} from '../settings/load-settings.js';
import {formatError, type TypedError} from '../errors/typed-error.js';

/** Exit status of a command: 0 for success, 1 for a refusal or failure; wrong usage throws a `UsageError`. */
export type ExitStatus = 0 | 1;

/** Where a command writes its lines. */
export type CommandOutput = Readonly<{
	print: (text: string) => void;
	printError: (text: string) => void;
}>;

/**
Reports an error and returns the exit status of a failure.

@example
return failCommand(output, result.error);
*/
export function failCommand(output: CommandOutput, error: TypedError): ExitStatus {
	output.printError(formatError(error).split('\n').map(line => replaceControlCharacters(line)).join('\n'));
	return 1;
}

/**
Reports every problem of a settings file on a line of its own and returns the exit status of a failure.

@example
return failWithSettingsProblems(output, settings.error);
*/
export function failWithSettingsProblems(output: CommandOutput, error: SettingsError): ExitStatus {
	if (error.problems.length === 0) {
		return failCommand(output, error);
	}

	for (const problem of error.problems) {
		output.printError(replaceControlCharacters(formatProblem(problem)));
	}

	return 1;
}

/**
Replaces control characters, so that text from the network cannot control the terminal.

@example
replaceControlCharacters('a\u001B[2Jb');
// => 'a\uFFFD[2Jb'
*/
export function replaceControlCharacters(text: string): string {
	return text.replaceAll(/[\p{Cc}\u2028\u2029]/gv, '\uFFFD');
}
