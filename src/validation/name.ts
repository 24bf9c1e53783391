/** Names of VMs, tasks and other entities, as the log records them. The characters need no escaping in a URL path segment. */
export const namePattern = /^[\w.:\-]{1,128}$/v;

/**
Returns whether a value is a name; see {@link namePattern}.

@example
isName('5c0e7a21d94b36f8.0.1.17'); // => true
*/
export function isName(value: unknown): value is string {
	return typeof value === 'string' && namePattern.test(value);
}
