import {err, ok, type Result} from 'true-myth/result';
import {messageOf} from '../errors/message-of.js';
import {boundedText} from './bounded-text.js';

/**
Parses JSON from outside. Fails with a short reason for text that is not JSON.

@example
parseJson('{"end":6}'); // => Ok({end: 6})
*/
export function parseJson(text: string): Result<unknown, string> {
	try {
		return ok(JSON.parse(text));
	} catch (error) {
		return err(boundedText(messageOf(error)));
	}
}
