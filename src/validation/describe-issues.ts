import {boundedText} from './bounded-text.js';

/** Errors of a schema, as zod and zod/mini return them. */
type SchemaError = Readonly<{issues: ReadonlyArray<Readonly<{path: readonly PropertyKey[]; message: string}>>}>;

/** Longest message of an issue, in characters. */
const maxMessageLength = 200;

/**
Returns the first error of a value that does not match its schema, as a short text with the path of the field.

@example
describeIssues(z.object({port: z.int()}).safeParse({port: 'x'}).error); // => 'port: Invalid input: expected int, received string'
*/
export function describeIssues({issues}: SchemaError): string {
	const [issue] = issues;
	return issue === undefined
		? 'the value does not match its schema'
		: `${boundedText(issue.path.map(String).join('.'))}: ${boundedText(issue.message, maxMessageLength)}`;
}
