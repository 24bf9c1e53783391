/** Longest text of a value from outside that a message or a log line contains, in characters. */
const maxTextLength = 100;

/**
Returns a value from outside as text for a message or a log line. The text is short for every value: strings are cut, and objects and lists are
only named, since converting them recurses into values of any depth.

@param maxLength largest length of the text, in characters.

@example
boundedText('x'.repeat(1000)).length; // => 101
boundedText([[1]]); // => 'a list'
*/
export function boundedText(value: unknown, maxLength = maxTextLength): string {
	if (typeof value === 'string') {
		return value.length > maxLength ? `${value.slice(0, maxLength)}…` : value;
	}

	if (typeof value === 'object' && value !== null) {
		return Array.isArray(value) ? 'a list' : 'an object';
	}

	return typeof value === 'function' || typeof value === 'symbol' ? `a ${typeof value}` : String(value);
}
