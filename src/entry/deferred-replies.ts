import {type DeferredAnswer} from './control-effect.js';
import {type DeferredSubject, type EntryEvent} from './entry-event.js';

/** Promises of the operators' and callers' requests that wait for a deferred answer. */
export type DeferredReplies = Readonly<{
	open: (request: Readonly<{
		subject: DeferredSubject;
		replyId: string;
		dispatch: (event: EntryEvent) => void;
	}>) => Promise<DeferredAnswer>;
	answer: (replyId: string, answer: DeferredAnswer) => void;
}>;

/**
Creates an empty registry of pending replies.

@example
const answer = await replies.open({subject: {kind: 'plan', plan}, replyId, dispatch});
*/
export function createDeferredReplies(): DeferredReplies {
	const waiting = new Map<string, (answer: DeferredAnswer) => void>();
	return {
		async open({subject, replyId, dispatch}) {
			return new Promise(resolve => {
				waiting.set(replyId, resolve);
				dispatch({kind: 'deferred-asked', replyId, subject});
			});
		},
		answer(replyId, answer) {
			waiting.get(replyId)?.(answer);
			waiting.delete(replyId);
		},
	};
}
