/** Largest amount of one resource (millicores, MB or accelerators): messages between agents and entries carry 32 bits. */
export const maxResourceAmount = 0xFF_FF_FF_FF;

/** Largest number of things, such as attempts, slots or connections: messages between agents and entries carry 32 bits. */
export const maxCount = 0xFF_FF_FF_FF;

/** Largest time in Unix milliseconds, the largest of a `Date`. */
export const maxTimeMs = 8_640_000_000_000_000;

function isWholeNumber(value: unknown): value is number {
	return Number.isSafeInteger(value);
}

/**
Returns whether a value is an amount of a resource: a whole number from 0 to `maxResourceAmount`.

@example
isResourceAmount(1e300); // => false
*/
export function isResourceAmount(value: unknown): value is number {
	return isWholeNumber(value) && value >= 0 && value <= maxResourceAmount;
}

/**
Returns whether a value is a time in whole milliseconds, from 0 to `maxTimeMs`.

@example
isTimeMs(-1); // => false
*/
export function isTimeMs(value: unknown): value is number {
	return isWholeNumber(value) && value >= 0 && value <= maxTimeMs;
}

/**
Returns whether a value is a number of things, such as an attempt: a whole number from 1 to `maxCount`.

@example
isCount(0); // => false
*/
export function isCount(value: unknown): value is number {
	return isWholeNumber(value) && value >= 1 && value <= maxCount;
}

/**
Returns whether a value is the offset of a record: a whole number from 0.

@example
isOffset(-1); // => false
*/
export function isOffset(value: unknown): value is number {
	return isWholeNumber(value) && value >= 0;
}
