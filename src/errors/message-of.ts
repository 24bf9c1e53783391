/**
Returns the message of a thrown value.

@example
messageOf(new Error('connection refused'));
// => 'connection refused'
*/
export function messageOf(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
