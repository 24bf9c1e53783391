import {type ClusterState} from '../cluster/cluster-state.js';

/** What the request reducer reads but does not own. */
export type RequestContext = Readonly<{
	cluster: ClusterState;
	nowMs: number;
	/** Sending time of the newest read that reached the log's tail and whose records are applied in `cluster`. */
	tailConfirmedSentAtMs: number;
	logReachable: boolean;
	seed: number;
}>;
