const namePattern = /^[\w.:\-]{1,128}$/v;

/**
Returns whether a text is a name of a VM, task or other entity: 1 to 128 letters, digits, dots, colons, hyphens or underscores. Without zod, so that an
agent can use it.

@example
isName('vm-1'); // => true
*/
export function isName(text: string): boolean {
	return namePattern.test(text);
}
