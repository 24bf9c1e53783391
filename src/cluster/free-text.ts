import {z} from 'zod';

/** Longest free text of a record, such as the reason of an end, in characters: the state keeps it. */
const maxFreeTextLength = 1000;

/**
Returns free text of a record as the state keeps it. Longer text is cut, since the record itself is valid.

@example
cutFreeText('x'.repeat(5000)).length; // => 1000
*/
export function cutFreeText(text: string): string {
	return text.length > maxFreeTextLength ? text.slice(0, maxFreeTextLength) : text;
}

/** Free text of a record; see {@link cutFreeText}. */
export const freeTextSchema = z.string().overwrite(text => cutFreeText(text));
