/** Wrong use of the command line; the process ends with status 2. */
export class UsageError extends Error {
	override readonly name = 'UsageError';
}
