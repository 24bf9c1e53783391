import {emptyClusterState, applyRecord} from '../cluster/reduce-cluster.js';
import {decideAgain} from '../placement/decide-again.js';
import {type ReplayFunctions} from './replay-records.js';

/**
Bundles the entry's own pure functions for replay.

@example
const replay = startReplay(createReplayFunctions());
*/
export function createReplayFunctions(): ReplayFunctions {
	return {initialState: emptyClusterState, applyRecord, decide: decideAgain};
}
