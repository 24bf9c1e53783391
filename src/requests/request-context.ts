import {type ClusterState} from '../cluster/cluster-state.js';

/** Input of the request reducer besides its state and the event. */
export type RequestContext = Readonly<{
	cluster: ClusterState;
	nowMs: number;
	/** Send time of the newest read that reached the log's tail and whose records are applied in `cluster`. */
	tailConfirmedSentAtMs: number;
	logReachable: boolean;
	seed: number;
}>;
