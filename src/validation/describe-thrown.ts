import {boundedText} from './bounded-text.js';

/** Longest reason and place of a thrown value, in characters. */
const maxLength = 200;

/**
Returns the message of a thrown value and the place that threw it, both as short texts for a log line.

@example
describeThrown(new TypeError('Invalid URL')); // => {reason: 'TypeError: Invalid URL', at: 'new URL (node:internal/url:806:29)'}
*/
export function describeThrown(error: unknown): Readonly<{reason: string; at: string}> {
	if (!(error instanceof Error)) {
		return {reason: boundedText(error, maxLength), at: ''};
	}

	const place = error.stack?.split('\n').find(line => line.startsWith('    at ')) ?? '';
	return {reason: boundedText(`${error.name}: ${error.message}`, maxLength), at: boundedText(place.trim().replace(/^at /v, ''), maxLength)};
}
