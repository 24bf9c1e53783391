/** Queue of messages to be written to one stream, in order. */
export type MessageQueue<Message> = AsyncIterable<Message> & Readonly<{
	/** Adds a message; returns false when the queue is full or closed. */
	push: (message: Message) => boolean;
	/** Ends the iteration after the messages that are already queued. */
	close: () => void;
}>;

/**
Creates a queue of at most `limit` messages with one consumer.

@example
const queue = createMessageQueue<string>(100);
queue.push('first');
*/
export function createMessageQueue<Message>(limit: number): MessageQueue<Message> {
	const waiting: Message[] = [];
	let isClosed = false;
	let wake: () => void = () => undefined;

	async function waitForChange(): Promise<void> {
		await new Promise<void>(resolve => {
			wake = resolve;
		});
	}

	return {
		push(message) {
			if (isClosed || waiting.length >= limit) {
				return false;
			}

			waiting.push(message);
			wake();
			return true;
		},
		close() {
			isClosed = true;
			wake();
		},
		async * [Symbol.asyncIterator]() {
			while (true) {
				while (waiting.length > 0) {
					yield waiting.shift()!;
				}

				if (isClosed) {
					return;
				}

				await waitForChange();
			}
		},
	};
}
