/** Lets calls wait at a front that has just started, until a decider answers for the first time. */
export type FirstAnswerWait = Readonly<{
	/**
	Resolves with whether a decider has answered and the call may be tried again: at the first answer or after the longest wait since the call began, at once
	when too many calls wait or long after the start.
	*/
	wait: (callBeganAtMs?: number) => Promise<boolean>;
	hasAnswer: () => boolean;
	recordAnswer: () => void;
	/** Ends all waits. */
	close: () => void;
}>;

/** Time since a call began, of the 3 s that its caller waits; 1.4 s are left for attempts at deciders, which then answer within milliseconds. */
const maxWaitMs = 1200;

/** Calls that wait at most; each holds a body of at most 256 KB, on VMs of 250 MB. */
const maxWaitingCalls = 64;

/** Time after the start beyond which no call waits: deciders that are still missing then are not merely starting. */
const startMs = 5000;

/**
Creates the wait of a front's calls after its start. After a loss of power, fronts take calls before the deciders have loaded their state; a call that
is refused then comes back a second later.

@example
const firstAnswer = createFirstAnswerWait({nowMs: () => performance.now()});
await firstAnswer.wait(); // => true when a decider answers
*/
export function createFirstAnswerWait({nowMs}: Readonly<{nowMs: () => number}>): FirstAnswerWait {
	const startedAtMs = nowMs();
	const waiting = new Set<() => void>();
	let isAnswered = false;
	let isClosed = false;

	function endWaits(): void {
		for (const finish of waiting) {
			finish();
		}
	}

	return {
		async wait(callBeganAtMs = nowMs()) {
			const callLeftMs = callBeganAtMs + maxWaitMs - nowMs();
			if (callLeftMs <= 0) {
				// The attempts before have used the time, for example at deciders that refuse slowly.
				return false;
			}

			const waitMs = Math.min(callLeftMs, startedAtMs + startMs - nowMs());
			if (isAnswered || isClosed || waitMs <= 0 || waiting.size >= maxWaitingCalls) {
				return isAnswered;
			}

			await new Promise<void>(resolve => {
				const finish = (): void => {
					clearTimeout(timer);
					waiting.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, waitMs);
				waiting.add(finish);
			});
			return isAnswered;
		},
		hasAnswer: () => isAnswered,
		recordAnswer() {
			isAnswered = true;
			endWaits();
		},
		close() {
			isClosed = true;
			endWaits();
		},
	};
}
