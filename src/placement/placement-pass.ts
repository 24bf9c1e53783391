import {type Set as ImmutableSet} from 'immutable';
import {type Task, type Vm} from '../cluster/cluster-state.js';
import {type Resources} from '../cluster/resources.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {type EntryContext} from '../entry/entry-context.js';
import {type VmsByWarmth} from './cold-vms.js';
import {type PlacementOwners} from './evaluate-placement-owners.js';
import {type ReleaseEstimate} from './free-resources-wait.js';
import {type ExpectedHarm} from './interference-estimates.js';
import {type PlacementFailures} from './placement-failures.js';
import {type ExpectedEnd} from './placement-plan.js';
import {type PlacementState} from './placement-state.js';
import {type RunTimeEstimates} from './run-time-estimates.js';
import {type StarvedJobs} from './starved-jobs.js';

/** What a placement pass reads; `unheardVmIds` names the VMs whose agent would probably not receive a start. */
export type PlacementContext = EntryContext & Readonly<{unheardVmIds?: ImmutableSet<string>; runTimes?: RunTimeEstimates}>;

/** State of one placement pass; the functions of the pass change it. */
export type PlacementPass = {
	readonly context: EntryContext;
	/** VMs that accept tasks, without those whose worker is cold. */
	vms: readonly Vm[];
	/** VMs that accept tasks and whose worker is cold, for tasks that no warm one can take. */
	coldVms: readonly Vm[];
	/** Millicores of cold VMs that are not given to tasks yet. */
	withheldMilliByVm: VmsByWarmth['withheldMilliByVm'];
	/** Whether the memory for tasks is left to those whose number the VMs' resources bound. */
	readonly isTaskMemoryShort: boolean;
	/** Demands that no VM could take in this pass; a demand of the same service that is at least as large cannot be placed either. */
	readonly demandsWithoutVm: Array<Readonly<{service: string | undefined; demand: Resources}>>;
	/** Steps whose task no VM could take in this pass; their other tasks cannot be placed either, since free resources only shrink during a pass. */
	readonly stepsWithoutVm: Set<string>;
	/** Keys of requirements that no VM could meet in this pass. Tasks of several jobs share a key when they can be placed on the same VMs. */
	readonly requirementsWithoutVm: Set<string>;
	/** Steps whose filling tasks were left without a VM in this pass; none unless the entry plans ahead. */
	readonly blockedFillingSteps: Set<string>;
	readonly owners: PlacementOwners;
	/** Expected harm of a placement, by kind, work class and demand of the task, then by VM. */
	readonly harms: Map<string, Map<string, ExpectedHarm>>;
	readonly starved: StarvedJobs;
	readonly effects: ControlEffect[];
	readonly failures: PlacementFailures;
	reservationAttempts: number;
	/** Estimates of the resources that tasks will release, for the VMs compared for a reservation. */
	readonly releaseEstimates: Map<string, ReleaseEstimate>;
	/** Learned run times; undefined unless the entry plans starts. */
	readonly runTimes: RunTimeEstimates | undefined;
	readonly expectedEnds: Map<string, readonly ExpectedEnd[]>;
	/** Tasks that found no VM and may have a start planned. */
	planned: Task[];
	state: PlacementState;
};
