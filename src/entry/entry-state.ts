import {Map} from 'immutable';
import {initialAdmission, type AdmissionState} from '../admission/admission-state.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {emptyClusterState} from '../cluster/reduce-cluster.js';
import {type AgentLink} from '../dispatch/agent-link.js';
import {type EntryLivenessState, initialEntryLiveness} from '../membership/entry-liveness.js';
import {type ClosedStreams, noClosedStreams} from '../membership/unheard-vms.js';
import {initialVmLiveness, type VmLivenessState} from '../membership/vm-liveness.js';
import {type FailureAttributionState, initialFailureAttribution} from '../placement/failure-attribution.js';
import {initialPlacement, type PlacementState} from '../placement/placement-state.js';
import {noRunTimeEstimates, type RunTimeEstimates} from '../placement/run-time-estimates.js';
import {initialRequestState, type RequestState} from '../requests/request-state.js';
import {type AppendGuard, emptyAppendGuard} from './append-guard.js';
import {type DeferredAnswers, noDeferredAnswers} from './deferred-answers.js';
import {type EvacuationProgress, initialEvacuationProgress} from './evacuation-progress.js';
import {type FailingPlacement} from './failing-placement.js';
import {initialKeyExpiry, type KeyExpiryState} from './key-expiry.js';

/** Whether an entry can read the log, and how recent its newest read is. */
export type LogReadState = Readonly<{
	/** When the newest read that reached the tail was sent. */
	tailConfirmedSentAtMs: number;
	/** When the VM last resumed from a suspension, if it ever was in one. Reads sent before confirm nothing, since the steady clock makes them look recent. */
	resumedAtMs?: number;
	reachable: boolean;
}>;

/** What this entry knows of its own snapshots. */
export type SnapshotProgress = Readonly<{
	coversOffset: number;
	writtenAtMs: number;
	isWriting: boolean;
	/** Tries that failed since the newest snapshot was written. */
	failedTries: number;
	triedAtMs: number;
}>;

/** All state of an entry. Only `cluster` is shared with the other entries, through the log. */
export type EntryState = Readonly<{
	incarnation: string;
	cluster: ClusterState;
	log: LogReadState;
	links: Map<string, AgentLink>;
	closedStreams: ClosedStreams;
	/** VM ID by session ID of each open stream. */
	vmIdBySession: Map<string, string>;
	/** When claims of other entries were read, by `TASK_ID/ATTEMPT`. */
	claimReadTimes: Map<string, number>;
	entryLiveness: EntryLivenessState;
	vmLiveness: VmLivenessState;
	placement: PlacementState;
	runTimes: RunTimeEstimates;
	requests: RequestState;
	failureAttribution: FailureAttributionState;
	deferred: DeferredAnswers;
	admission: AdmissionState;
	keyExpiry: KeyExpiryState;
	appendGuard: AppendGuard;
	snapshot: SnapshotProgress;
	lastControlTickMs: number;
	lastPassAtMs: number;
	evacuations: EvacuationProgress;
	/** Set while all placement passes fail, and for a time after they made this entry give the placement up. */
	failingPlacement: FailingPlacement | undefined;
}>;

/**
Returns the state of an entry that has just started.

@example
let state = initialEntryState('a81f…');
*/
export function initialEntryState(incarnation: string): EntryState {
	return {
		incarnation,
		cluster: emptyClusterState,
		log: {tailConfirmedSentAtMs: Number.NEGATIVE_INFINITY, reachable: true},
		links: Map(),
		closedStreams: noClosedStreams,
		vmIdBySession: Map(),
		claimReadTimes: Map(),
		entryLiveness: initialEntryLiveness,
		vmLiveness: initialVmLiveness,
		placement: initialPlacement,
		runTimes: noRunTimeEstimates,
		requests: initialRequestState,
		failureAttribution: initialFailureAttribution,
		deferred: noDeferredAnswers,
		admission: initialAdmission,
		keyExpiry: initialKeyExpiry,
		appendGuard: emptyAppendGuard,
		snapshot: {
			coversOffset: -1, writtenAtMs: Number.NEGATIVE_INFINITY, isWriting: false, failedTries: 0, triedAtMs: Number.NEGATIVE_INFINITY,
		},
		lastControlTickMs: Number.NEGATIVE_INFINITY,
		lastPassAtMs: Number.NEGATIVE_INFINITY,
		evacuations: initialEvacuationProgress,
		failingPlacement: undefined,
	};
}
