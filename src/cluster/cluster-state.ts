import {
	type Map, type OrderedMap, type OrderedSet, type Set,
} from 'immutable';
import {type PlacementDecision} from './cluster-record.js';
import {
	type Job, type PriorityClass, type RequestLimits, type Service, type TaskSpec, type Weights,
} from './intent.js';
import {type ReadLag} from './read-lag.js';
import {type Resources} from './resources.js';
import {type VmContact} from './vm-contact.js';
import {type VmOffer} from './vm-offer.js';
import {type TaskPosition, type Workflow} from './workflow.js';

/** An entry process that registered itself in the log. */
export type EntryMember = Readonly<{
	entryId: string;
	incarnation: string;
	failureDomain: string;
	operatorAddress: string;
	/** Processors of its VM, in thousandths. */
	processorsMilli: number;
	/** Offset of the newest record of this incarnation. */
	lastOffset: number;
	/** Offset up to which this entry has reported that it applied the log. */
	appliedOffset: number;
	/** How far the entry lags behind the log, as shown by its heartbeats; left out before the first heartbeat and in snapshots of versions that did not store it. */
	readLag?: ReadLag;
	/**
	Time without a message after which this entry withdraws from hearing an agent. It then neither grants the agent leases nor answers it in contact until the log
	lists it as hearing the agent again. Left out by versions that did not do so.
	*/
	withdrawsAfterMs?: number | undefined;
}>;

/** `live`: accepts work; `revoked`: its leases are not renewed; `expired`: its leases have certainly expired, so none of its leased tasks runs. */
export type VmPhase = 'live' | 'revoked' | 'expired';

/** A VM with its agent's current incarnation, as the entries agree on it. */
export type Vm = Readonly<{
	vmId: string;
	agentIncarnation: string;
	/** Earlier incarnations, newest last; a late registration of one of them is ignored. */
	formerAgentIncarnations: readonly string[];
	/** Worker process that runs the VM's tasks. */
	workerIncarnation: string;
	failureDomain: string;
	rack: string;
	requestAddress: string;
	capacity: Resources;
	/** Sum of the resources that counted claims and backend servers commit; never more than `capacity`. */
	committed: Resources;
	phase: VmPhase;
	draining: boolean;
	/** Set when the worker itself announced that it will stop. */
	leaving: boolean;
	/** The agent reported its worker as lost: the worker's tasks have certainly stopped. The VM accepts no task until it registers with a worker. */
	workerLost: boolean;
	quarantined: boolean;
	/** Service that the worker belongs to, or empty. The tasks of a workflow run only on workers of its service. */
	service: string;
	labels: readonly string[];
	/** Start of the worker process in Unix time; 0 when it is not known. */
	workerStartedAtMs: number;
	/** Incarnations of the entries that receive the agent's messages. */
	heardBy: Set<string>;
	contact: VmContact;
	/** Tasks whose current attempt is claimed for this VM and has not ended. */
	taskIds: Set<string>;
	backendServerIds: Set<string>;
	/** Tasks whose claims wait for free resources, oldest first. A claim is counted once it fits, for example when the tasks that it evicts have ended. */
	waitingTaskIds: readonly string[];
	/** Backend servers whose demand is not committed in full yet, oldest first; they take precedence over the waiting claims. */
	waitingBackendServerIds: readonly string[];
}>;

export type BackendServerPhase = 'serving' | 'leaving' | 'gone';

/** A backend server, as the entries agree on it. */
export type BackendServer = Readonly<{
	backendServerId: string;
	service: string;
	vmId: string;
	agentIncarnation: string;
	slots: number;
	connections: number;
	phase: BackendServerPhase;
	/** Set by an operator's drain; independent of the phase `leaving`, which the backend server announces itself. */
	draining: boolean;
	committed: Resources;
}>;

/**
`queued`: waits for a claim; `claimed`: is bound to a VM; `running`: was reported as started; `evicting`: must checkpoint and stop; `cancelling`: must
stop. `finished`, `failed`, `cancelled` and `unplaceable` are final.
*/
export type TaskPhase = 'queued' | 'claimed' | 'running' | 'evicting' | 'cancelling' | 'finished' | 'failed' | 'cancelled' | 'unplaceable';

/** The VM that the current attempt of a task is bound to, with the claim that bound it. */
export type TaskClaim = Readonly<{
	vmId: string;
	agentIncarnation: string;
	claimOffset: number;
	/** Incarnation of the entry that wrote the claim. */
	writerIncarnation: string;
	committed: Resources;
	/** Whether `committed` is part of the VM's committed sum; false while the claim waits for free resources. */
	counted: boolean;
	evictTaskIds: readonly string[];
	decision: PlacementDecision;
}>;

/** A task with its current attempt, as the entries agree on it. `attempt` is 0 until the first claim; `claim` is set only while an attempt is live. */
export type Task = Readonly<{
	spec: TaskSpec;
	/** Set for a task of a workflow. */
	position: TaskPosition | undefined;
	jobId: string;
	teamId: string;
	workClass: 'latency-critical' | 'batch';
	priority: PriorityClass;
	phase: TaskPhase;
	attempt: number;
	claim: TaskClaim | undefined;
	checkpoint: string;
	failures: number;
	evictions: number;
	/** VMs on which attempts failed or were refused, newest last; at most five. */
	failedOnVmIds: readonly string[];
	submittedOffset: number;
	changedOffset: number;
	/** Why the task is in its phase, for `explain`. */
	reason: string;
}>;

/** State of the job of a workflow. */
export type WorkflowPhase = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Which tasks of a step have been created. The others differ by their index alone, so that the state need not hold them. */
export type CreatedTasks = Readonly<{
	/** Tasks with a lower index have been created. */
	nextIndex: number;
	/** Indexes from `nextIndex` on whose tasks were created out of order, for a claim of an entry that had them in its queue. */
	aheadIndexes: Set<number>;
	/** Offset of the record that made the step's occurrence; its tasks keep this place in the queue order, whenever they are created. */
	offset: number;
}>;

/** The job of a workflow that is not finished. */
export type WorkflowRun = Readonly<{
	workflow: Workflow;
	/** The fields that the tasks inherit from their job. */
	owner: Readonly<Pick<Job, 'jobId' | 'teamId' | 'workClass' | 'priority'>>;
	/** The phase is `failed` or `cancelled` only until the last attempts have stopped. */
	phase: Exclude<WorkflowPhase, 'completed'>;
	/** Number of unfinished tasks, keyed by occurrence and step, such as `0.1`. */
	unfinishedByStep: Map<string, number>;
	/** Number of occurrences that were made; 1 for a workflow without a schedule. */
	madeOccurrences: number;
	/** Created tasks, keyed like `unfinishedByStep`. */
	createdByStep: Map<string, CreatedTasks>;
	/** Steps that wait for no other step and have tasks that are not created yet, in the order in which these are created. */
	readySteps: readonly TaskPosition[];
	/** Tasks in the state: those that were created and have not ended. */
	taskIds: Set<string>;
	/** How many of them are queued. */
	queuedTasks: number;
}>;

/** The outcome of a finished workflow job. */
export type FinishedWorkflow = Readonly<{queue: string; phase: 'completed' | 'failed' | 'cancelled'}>;

/** The claim of a non-idempotent request's key, as the entries agree on it. It binds the key to one agent incarnation until it expires or is released. */
export type KeyClaim = Readonly<{
	keyHash: string;
	bodyHash: string;
	service: string;
	vmId: string;
	agentIncarnation: string;
	backendServerId: string;
	claimOffset: number;
}>;

/** What the log holds of an operator's request to evacuate a failure domain. */
export type Evacuation = Readonly<{
	/** Whether nothing may be started in the failure domain. False after the request was removed. */
	isRequested: boolean;
	/** Offset of the request, or of its removal, in the operator's topic. Records with the same or a lower one are stale. */
	requestOffset: number;
	/** Offset in the log of the record that last changed `isRequested`. */
	offset: number;
	/** Time of day at which the writer of that record saw the request, for operators only; 0 when it is not known. */
	noticedAtMs: number;
	/** Claims that were rejected since then because of the request. */
	refusedClaims: number;
}>;

/** The configuration that confirmed plans and the operator's evacuations have set; `offset` is the offset of the record that last changed it. */
export type Configuration = Readonly<{
	offset: number;
	services: Map<string, Service>;
	quotas: Map<string, Resources>;
	requestLimits: RequestLimits;
	weights: Weights;
	drainingVmIds: Set<string>;
	drainingFailureDomains: Set<string>;
	drainingBackendServerIds: Set<string>;
	/** Evacuations by failure domain, those that were removed included. */
	evacuations: Map<string, Evacuation>;
}>;

/** The decision on a confirmed plan. */
export type PlanDecision = Readonly<{
	planId: string;
	offset: number;
	accepted: boolean;
	/** Why the plan was rejected, such as the entities that changed since it was computed; empty when accepted. */
	reason: string;
}>;

/** The state that all entries agree on: a pure function of the log up to `offset`. */
export type ClusterState = Readonly<{
	/** Offset of the last record applied; -1 before the first. */
	offset: number;
	/** Live entries by writer incarnation. */
	entries: Map<string, EntryMember>;
	/** The newest ended writer incarnations, oldest first. */
	endedIncarnations: OrderedSet<string>;
	/** Highest sequence applied for each live writer incarnation. */
	sequences: Map<string, number>;
	vms: Map<string, Vm>;
	/** VMs in phase `expired`, oldest first; the oldest are removed when there are too many. */
	expiredVmIds: OrderedSet<string>;
	/** The distinct offers of all workers that registered, oldest first, also of workers that others have replaced. */
	vmOffers: OrderedMap<string, VmOffer>;
	backendServers: Map<string, BackendServer>;
	/** Backend servers in phase `gone`, oldest first; the oldest are removed when there are too many. */
	goneBackendServerIds: OrderedSet<string>;
	tasks: Map<string, Task>;
	/** Identifiers of queued tasks by priority class, oldest first. */
	queued: Map<PriorityClass, OrderedMap<string, true>>;
	/** Task identifiers of each job in the state; empty for the jobs of workflows, whose runs hold them. */
	jobs: Map<string, readonly string[]>;
	/** Number of tasks of each unfinished job that have not reached a final phase. */
	unfinishedTasksByJob: Map<string, number>;
	/** Finished jobs with their number of tasks, oldest first; the oldest are removed when there are too many jobs or tasks. */
	finishedJobs: OrderedMap<string, number>;
	/** Sum of the values of `finishedJobs`. */
	finishedTaskCount: number;
	/** Jobs of workflows that are not finished. */
	workflows: Map<string, WorkflowRun>;
	/** Finished jobs of workflows, oldest first. Their tasks are removed as soon as the job finishes; the oldest jobs are removed when there are too many. */
	finishedWorkflows: OrderedMap<string, FinishedWorkflow>;
	/**
	Cancellations of jobs that were not known, with their offsets, oldest first. A submission that is read later meets its cancellation here. The oldest
	are removed when there are too many.
	*/
	earlyCancellations: OrderedMap<string, number>;
	/** Early cancellations at or below this offset may have been removed. */
	earlyCancellationsForgottenThroughOffset: number;
	/** Sum of the resources that the live claims of each team commit. */
	committedByTeam: Map<string, Resources>;
	/** Claims by key hash, in the order of their offsets. */
	keys: OrderedMap<string, KeyClaim>;
	/** Key claims at or below this offset have expired. */
	keysForgottenThroughOffset: number;
	configuration: Configuration;
	planDecisions: OrderedMap<string, PlanDecision>;
	/** Offset of the last change of each entity that a plan may touch. */
	entityOffsets: Map<string, number>;
}>;
