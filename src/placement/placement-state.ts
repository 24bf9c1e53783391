import {
	Map as immutableMap, type Map as ImmutableMap, Set as immutableSet, type Set as ImmutableSet,
} from 'immutable';
import {noLatencyImpactEstimates, type LatencyImpactEstimates} from '../agent/latency-impact-estimates.js';
import {type ColdVms, noColdVms} from './cold-vms.js';
import {type OwnersSeen} from './evaluate-placement-owners.js';
import {type FillingLimits, noFillingLimits} from './filling-limits.js';
import {type FleetGrowth, noFleetSeen} from './fleet-growth.js';
import {type InterferenceEstimates, noInterferenceEstimates} from './interference-estimates.js';
import {noVmHistory, type VmHistory} from './observe-usage.js';
import {noPendingClaims, type PendingClaims} from './pending-claims.js';
import {noReservations, type Reservations} from './reservations.js';
import {type FailedStarts, noFailedStarts} from './restart-pauses.js';
import {type WaitingJobs} from './starved-jobs.js';

/** State that the placement keeps between two passes. It is not persisted; losing it with the process does no harm. */
export type PlacementState = Readonly<{
	pending: PendingClaims;
	ownersSeen: OwnersSeen;
	waitingJobs: WaitingJobs;
	interference: InterferenceEstimates;
	history: VmHistory;
	/** Measured latency impact of filling tasks on serving tasks, merged from the reports of all agents. */
	latencyImpacts: LatencyImpactEstimates;
	/** Millicores available to filling tasks, as measured on the VMs where they got less than their demand. */
	fillingRoomByVm: ImmutableMap<string, number>;
	/** VMs whose worker is slow for a time after its start. */
	coldVms: ColdVms;
	/** Limits of the started filling jobs; they move only while the entry plans ahead. */
	fillingLimits: FillingLimits;
	/** Steps whose filling tasks no VM could take in the newest pass. */
	blockedFillingSteps: ReadonlySet<string>;
	/** VMs with a silent worker: the agent could not deliver a start to it. */
	silentVmIds: ImmutableSet<string>;
	reservations: Reservations;
	/** Until the fleet has stopped growing, a task that no known worker could run waits for others to register. */
	fleetGrowth: FleetGrowth;
	/** Long-running tasks that fail soon after their start, which pause before the next one. */
	failedStarts: FailedStarts;
	/** When tasks and VMs that a pass left out because they made it throw were last logged. */
	failuresLoggedAtMs: number;
}>;

export const initialPlacement: PlacementState = {
	pending: noPendingClaims,
	ownersSeen: immutableMap(),
	waitingJobs: immutableMap(),
	interference: noInterferenceEstimates,
	history: noVmHistory,
	latencyImpacts: noLatencyImpactEstimates,
	fillingRoomByVm: immutableMap(),
	coldVms: noColdVms,
	fillingLimits: noFillingLimits,
	blockedFillingSteps: new Set(),
	silentVmIds: immutableSet(),
	reservations: noReservations,
	fleetGrowth: noFleetSeen,
	failedStarts: noFailedStarts,
	failuresLoggedAtMs: Number.NEGATIVE_INFINITY,
};
