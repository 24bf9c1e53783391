/** An error as a value: `kind` is for programs, `message` says what is wrong and `remedy` what to do. */
export type TypedError<Kind extends string = string> = Readonly<{
	kind: Kind;
	message: string;
	remedy: string;
}>;

/**
Formats an error for a log line or a terminal.

@example
formatError({kind: 'settings-invalid', message: 'port is missing', remedy: 'add a port'});
// => 'settings-invalid: port is missing; remedy: add a port'
*/
export function formatError(error: TypedError): string {
	return `${error.kind}: ${error.message}; remedy: ${error.remedy}`;
}
