import {
	addResources, fitsInto, noResources, type Resources,
} from '../cluster/resources.js';
import {
	TaskOutcome, type CancelTask, type EvictTask, type StartTask,
} from '../generated/arbutushinge/v1/agent_pb.js';
import type {WorkerTask} from '../worker/worker-api.js';
import type {AgentEffect} from './agent-effect.js';
import type {AgentEventOf} from './agent-event.js';
import type {AgentState, AgentTask} from './agent-state.js';
import {recordDecidedAttempt, wasDecided} from './attempt-table.js';
import {isGrantRecent, isLeaseLive} from './lease.js';
import {
	commitResources, recordRunning, emptyLedger, freeResources, releaseResources,
} from './ledger.js';
import {applyPlannedFillingShares} from './filling-handlers.js';
import {fullProcessorShareMilli} from './filling-throttle.js';
import {mergeLatencyImpacts} from './latency-impact-estimates.js';
import {acknowledgeTaskEvents, addTaskEvent, type TaskEventOutcome} from './task-events.js';
import {chain, transition, type Transition} from './transition.js';
import {recordWorkerList} from './worker-view.js';

type StateUpdate = (state: AgentState) => Transition;

const holderOf = (taskId: string): string => `task/${taskId}`;

const plainResources = (resources: Readonly<Resources> | undefined): Resources => resources === undefined
	? noResources
	: {processorsMilli: resources.processorsMilli, memoryMb: resources.memoryMb, accelerators: resources.accelerators};

const ended = (outcome: TaskOutcome, reason: string): TaskEventOutcome => ({case: 'ended', value: {outcome, reason}});

function report(state: AgentState, task: Readonly<{taskId: string; attempt: number}>, outcome: TaskEventOutcome): Transition {
	const {taskId, attempt} = task;
	const reason = outcome.case === 'started' ? undefined : outcome.value.reason;
	const fields = {
		taskId, attempt, result: outcome.case === 'ended' ? TaskOutcome[outcome.value.outcome] : undefined, reason,
	};
	return transition(
		{...state, events: addTaskEvent(state.events, {taskId, attempt, outcome})},
		{
			kind: 'log', level: 'info', event: `task-${outcome.case}`, fields,
		},
		{
			kind: 'record', entry: {
				event: `task-${outcome.case}`, offset: state.configuration.offset, taskId, vmId: state.settings.vmId, detail: reason,
			},
		},
	);
}

/** Reports the end of an attempt and releases its committed resources. */
function endTask(state: AgentState, task: AgentTask, outcome: TaskEventOutcome, nowMs: number): Transition {
	const reported = report({...state, ledger: releaseResources(state.ledger, holderOf(task.taskId))}, task, outcome);
	const tasks = state.tasks.set(task.taskId, {
		...task, phase: 'ended', start: undefined, startInFlight: false, changedAtMs: nowMs, endEventId: state.events.nextEventId,
	});
	return {...reported, state: {...reported.state, tasks}};
}

/** Reports an attempt as not run. When the agent has recorded the attempt, removes it and releases its committed resources. */
function refuseTask(state: AgentState, task: Readonly<{taskId: string; attempt: number}>, reason: string): Transition {
	const held = state.tasks.get(task.taskId);
	const isHeld = held?.attempt === task.attempt;
	return report({
		...state,
		ledger: isHeld ? releaseResources(state.ledger, holderOf(task.taskId)) : state.ledger,
		tasks: isHeld ? state.tasks.delete(task.taskId) : state.tasks,
	}, task, ended(TaskOutcome.REFUSED_NOT_RUN, reason));
}

const isLive = (task: AgentTask): boolean => task.phase === 'starting' || task.phase === 'running';

const isRunningBatch = (task: AgentTask): boolean => task.phase === 'running' && !task.latencyCritical;

function startEffect(state: AgentState, task: AgentTask): AgentEffect[] {
	return task.start === undefined
		? []
		: [{
			kind: 'start-task', taskId: task.taskId, workerIncarnation: state.worker.incarnation, request: {
				attempt: task.attempt,
				limit: task.limit,
				payload: task.start.payload,
				checkpoint: task.start.checkpoint,
				latencyCritical: task.latencyCritical,
				leaseDeadlineMonotonicMs: Math.min(state.worker.workerLeaseDeadlineMs, state.lease.deadlineMs ?? Number.POSITIVE_INFINITY),
			},
		}];
}

/** Commits the resources of a task and starts it. Returns undefined when it does not fit into the free resources. */
function startIfFits(state: AgentState, task: AgentTask, nowMs: number): Transition | undefined {
	const ledger = commitResources(state.ledger, holderOf(task.taskId), task.limit);
	if (ledger === undefined) {
		return undefined;
	}

	const starting: AgentTask = {
		...task, phase: 'starting', startInFlight: true, changedAtMs: nowMs,
	};
	return transition({...state, ledger, tasks: state.tasks.set(task.taskId, starting)}, ...startEffect(state, starting));
}

/**
Checkpoints and stops a task that is starting or running; a task that is already being stopped is not changed.

@example
evictTask(state, 't1', 'urgent task t2 needs the room');
*/
export function evictTask(state: AgentState, taskId: string, reason: string): Transition {
	const task = state.tasks.get(taskId);
	if (task === undefined || !isLive(task) || task.stopping !== undefined) {
		return transition(state);
	}

	return transition(
		{...state, tasks: state.tasks.set(taskId, {...task, stopping: 'evict', stoppingReason: reason})},
		{kind: 'checkpoint-task', taskId},
		{kind: 'count', metric: 'agent.evictions'},
		{
			kind: 'log', level: 'info', event: 'task-evicting', fields: {taskId, attempt: task.attempt, reason},
		},
	);
}

const evacuatedReason = 'the failure domain is evacuated';

/** Returns the reason why a start is refused whatever the free resources are; undefined when there is none. */
function startRefusalReason(state: AgentState, start: StartTask, nowMs: number): string | undefined {
	if (state.phase !== 'active' || !isLeaseLive(state.lease, nowMs)) {
		return 'the agent has no live lease';
	}

	if (state.stop !== undefined || state.configuration.vmDraining || state.worker.leaving || state.worker.lost) {
		return 'the VM takes no new work';
	}

	if (!state.configuration.isReceived || state.configuration.vmEvacuated) {
		return state.configuration.isReceived ? evacuatedReason : 'the agent has not received its configuration';
	}

	const held = state.tasks.get(start.taskId);
	return held !== undefined && held.phase !== 'ended' ? 'another attempt of the task is on this VM' : undefined;
}

/**
Handles a start command. A command for another agent incarnation, or for an attempt that may have been decided before, is ignored:
the attempt may have run, so a report that it did not could be false.

@example
startTask(state, start, nowMs);
*/
export function startTask(state: AgentState, start: StartTask, nowMs: number): Transition {
	const attemptId = {taskId: start.taskId, attempt: start.attempt, claimOffset: Number(start.claimOffset)};
	const held = state.tasks.get(start.taskId);
	if (start.agentIncarnation !== state.incarnation || wasDecided(state.attempts, attemptId) || (held !== undefined && held.attempt >= start.attempt)) {
		return transition(state);
	}

	const decided: AgentState = {
		...state, attempts: recordDecidedAttempt(state.attempts, attemptId), fillingThrottle: {...state.fillingThrottle, latencyImpacts: mergeLatencyImpacts(state.fillingThrottle.latencyImpacts, start.presses)},
	};
	const reason = startRefusalReason(state, start, nowMs);
	if (reason !== undefined) {
		return refuseTask(decided, start, reason);
	}

	const task: AgentTask = {
		taskId: start.taskId,
		attempt: start.attempt,
		limit: plainResources(start.demand),
		latencyCritical: start.latencyCritical,
		phase: 'waiting',
		start,
		startInFlight: false,
		startUncertain: false,
		stopAnsweredAtMs: undefined,
		changedAtMs: nowMs,
		stopping: undefined,
		stoppingReason: '',
		latencyTargetMs: start.traits?.latencyTargetMs ?? 0,
		fillsIdle: start.traits?.fillsIdle ?? false,
		fillingMilli: start.traits?.fillingMilli ?? 0,
		image: start.traits?.image ?? '',
		sentShareMilli: fullProcessorShareMilli,
		endEventId: undefined,
	};
	const evictions = start.evictTaskIds.map(taskId => (current: AgentState) => evictTask(current, taskId, `${start.taskId} takes the room`));
	return startIfFits(decided, task, nowMs)
		?? chain({...decided, tasks: decided.tasks.set(task.taskId, task)}, ...evictions, startOrRefuseWaitingTasks(nowMs));
}

/**
Starts the waiting tasks that fit into the free resources, and refuses the others once none of their evictions is pending. Refuses all of
them when the agent has no live lease or stops.

@example
chain(state, startOrRefuseWaitingTasks(nowMs));
*/
export function startOrRefuseWaitingTasks(nowMs: number): StateUpdate {
	return state => {
		const waiting = [...state.tasks.values()].filter(task => task.phase === 'waiting');
		return waiting.length === 0
			? transition(state)
			: chain(state, ...waiting.map(task => (current: AgentState) => {
				const reason = current.phase === 'active' && isLeaseLive(current.lease, nowMs) && current.stop === undefined
					? (current.configuration.vmEvacuated ? evacuatedReason : undefined)
					: 'the agent has no live lease';
				if (reason !== undefined) {
					return refuseTask(current, task, reason);
				}

				if (!isGrantRecent(current.lease, nowMs)) {
					return transition(current);
				}

				const isEvictionPending = (task.start?.evictTaskIds ?? []).some(taskId => {
					const evicted = current.tasks.get(taskId);
					return evicted !== undefined && isLive(evicted) && evicted.stopping !== undefined;
				});
				return startIfFits(current, task, nowMs) ?? (isEvictionPending ? transition(current) : refuseTask(current, task, 'the VM has no room'));
			}));
	};
}

/**
Refuses an attempt whose evict or cancel command arrived before its start. No start is sent after such a command, so without the refusal
the attempt would never be reported. It is recorded as decided, so that a start that was sent earlier and arrives late does not run it.
*/
function refuseUnstarted(state: AgentState, command: EvictTask | CancelTask): Transition {
	const attemptId = {taskId: command.taskId, attempt: command.attempt, claimOffset: Number(command.claimOffset)};
	const held = state.tasks.get(command.taskId);
	const isUnstarted = state.phase !== 'counting'
		&& command.agentIncarnation === state.incarnation
		&& !wasDecided(state.attempts, attemptId)
		&& (held === undefined || held.attempt < command.attempt);
	return isUnstarted
		? refuseTask({...state, attempts: recordDecidedAttempt(state.attempts, attemptId)}, command, 'stopped before it started')
		: transition(state);
}

/**
Handles an evict command.

@example
evictAttempt(state, evict);
*/
export function evictAttempt(state: AgentState, evict: EvictTask): Transition {
	const task = state.tasks.get(evict.taskId);
	if (task?.attempt !== evict.attempt) {
		return refuseUnstarted(state, evict);
	}

	return task.phase === 'waiting' ? refuseTask(state, task, evict.reason) : evictTask(state, evict.taskId, evict.reason);
}

/**
Handles a cancel command; a cancelled task stops without a checkpoint.

@example
cancelAttempt(state, cancel);
*/
export function cancelAttempt(state: AgentState, cancel: CancelTask): Transition {
	const task = state.tasks.get(cancel.taskId);
	if (task?.attempt !== cancel.attempt) {
		return refuseUnstarted(state, cancel);
	}

	if (task.stopping === 'cancel') {
		return transition(state);
	}

	if (task.phase === 'waiting') {
		return refuseTask(state, task, 'cancelled before it started');
	}

	return isLive(task)
		? transition(
			{...state, tasks: state.tasks.set(task.taskId, {...task, stopping: 'cancel', stoppingReason: 'cancelled'})},
			{kind: 'stop-task', taskId: task.taskId},
		)
		: transition(state);
}

/**
Handles the worker's answer to a start. After an unknown result, the start is sent again, which is idempotent.

@example
startAnswered(state, {kind: 'start-answered', nowMs, taskId: 't1', attempt: 1, result: 'started', reason: ''});
*/
export function startAnswered(state: AgentState, event: AgentEventOf<'start-answered'>): Transition {
	const task = state.tasks.get(event.taskId);
	if (task?.attempt !== event.attempt || task.phase !== 'starting') {
		return transition(state);
	}

	const isUncertain = task.startUncertain || event.result === 'unknown';
	const answered: AgentTask = {
		...task, startInFlight: false, startUncertain: isUncertain, changedAtMs: event.nowMs,
	};
	const refuse: StateUpdate = current => chain(current, next => refuseTask(next, task, event.reason), startOrRefuseWaitingTasks(event.nowMs));
	const keepStarting: StateUpdate = current => transition({...current, tasks: current.tasks.set(task.taskId, answered)});
	const handlers: Readonly<Record<typeof event.result, StateUpdate>> = {
		started: current => chain(
			{...current, tasks: current.tasks.set(task.taskId, {...answered, phase: 'running', start: undefined})},
			next => report(next, task, {case: 'started', value: {}}),
			applyPlannedFillingShares,
		),
		// The worker may still execute an earlier try that got no answer; a stop keeps it from running.
		refused: current => task.startUncertain
			? transition(
				{...current, tasks: current.tasks.set(task.taskId, {...answered, stopping: 'evict', stoppingReason: event.reason})},
				{kind: 'checkpoint-task', taskId: task.taskId},
			)
			: refuse(current),
		// This try was not sent, but the worker may have executed an earlier one.
		unsent: task.startUncertain ? keepStarting : refuse,
		unknown: keepStarting,
	};
	return handlers[event.result](state);
}

/**
Records when the worker accepted a stop of an attempt whose start is not confirmed. An attempt that is missing from a list requested
after that time never runs.

@example
stopAnswered(state, {kind: 'stop-answered', nowMs, taskId: 't1'});
*/
export function stopAnswered(state: AgentState, {taskId, nowMs}: AgentEventOf<'stop-answered'>): Transition {
	const task = state.tasks.get(taskId);
	return transition(task?.phase === 'starting' && task.stopping !== undefined
		? {...state, tasks: state.tasks.set(taskId, {...task, stopAnsweredAtMs: nowMs})}
		: state);
}

/**
Stops the attempts whose start got no answer, once the failure domain is evacuated. The worker may have executed a try; the attempt is reported as not run
when the worker has taken the stop and does not list it.

@example
chain(state, stopUnansweredStarts);
*/
export function stopUnansweredStarts(state: AgentState): Transition {
	return state.configuration.vmEvacuated
		? chain(state, ...[...state.tasks.values()]
			.filter(task => task.phase === 'starting' && !task.startInFlight && task.stopping === undefined)
			.map(task => (current: AgentState) => evictTask(current, task.taskId, evacuatedReason)))
		: transition(state);
}

/**
Repeats the starts whose result is unknown, while the lease is live and was granted lately, and the stops of tasks that have not ended.

@example
chain(state, repeatCalls(nowMs));
*/
export function repeatCalls(nowMs: number): StateUpdate {
	return state => {
		const uncertain = [...state.tasks.values()].filter(task => task.phase === 'starting' && !task.startInFlight && task.stopping === undefined && isLeaseLive(state.lease, nowMs) && isGrantRecent(state.lease, nowMs));
		const stopping = [...state.tasks.values()].filter(task => isLive(task) && !task.startInFlight && task.stopping !== undefined);
		return transition(
			{
				...state, tasks: state.tasks.withMutations(tasks => {
					for (const task of uncertain) {
						tasks.set(task.taskId, {...task, startInFlight: true});
					}
				}),
			},
			...uncertain.flatMap(task => startEffect(state, task)),
			...stopping.map((task): AgentEffect => ({kind: task.stopping === 'cancel' ? 'stop-task' : 'checkpoint-task', taskId: task.taskId})),
		);
	};
}

/** Outcome to report for an ended task, by the phase in which the worker lists it. */
const outcomesByPhase: Readonly<Record<Exclude<WorkerTask['phase'], 'running'>, (listed: WorkerTask, task: AgentTask) => TaskEventOutcome>> = {
	finished: listed => ended(TaskOutcome.FINISHED, listed.reason),
	failed: listed => ended(TaskOutcome.FAILED, listed.reason),
	checkpointed: (listed, task) => ({case: 'checkpointed', value: {checkpoint: listed.checkpoint, reason: task.stoppingReason || listed.reason}}),
	// A task that stops without a checkpoint and was not cancelled starts over in its next attempt.
	stopped: (listed, task) => task.stopping === 'cancel'
		? ended(TaskOutcome.CANCELLED, 'cancelled')
		: {case: 'checkpointed', value: {checkpoint: '', reason: listed.reason}},
};

function adoptListedTask(listed: WorkerTask, nowMs: number): AgentTask {
	return {
		taskId: listed.taskId,
		attempt: listed.attempt,
		limit: listed.limit,
		latencyCritical: listed.latencyCritical,
		phase: 'running',
		start: undefined,
		startInFlight: false,
		startUncertain: false,
		stopAnsweredAtMs: undefined,
		changedAtMs: nowMs,
		stopping: undefined,
		stoppingReason: '',
		latencyTargetMs: 0,
		fillsIdle: false,
		fillingMilli: 0,
		image: '',
		sentShareMilli: fullProcessorShareMilli,
		endEventId: undefined,
	};
}

function applyListed(listed: WorkerTask, nowMs: number): StateUpdate {
	return state => {
		const recorded = state.tasks.get(listed.taskId);
		if (recorded !== undefined && (recorded.attempt > listed.attempt || (recorded.attempt === listed.attempt && recorded.phase === 'ended'))) {
			return transition(state);
		}

		const isAdopted = recorded?.attempt !== listed.attempt;
		const task = isAdopted ? adoptListedTask(listed, nowMs) : recorded;
		if (listed.phase !== 'running') {
			return endTask(state, task, outcomesByPhase[listed.phase](listed, task), nowMs);
		}

		const running: AgentTask = {
			...task, phase: 'running', start: undefined, startInFlight: false, limit: listed.limit,
		};
		const next: AgentState = {
			...state,
			ledger: recordRunning(state.ledger, holderOf(listed.taskId), listed.limit),
			tasks: state.tasks.set(listed.taskId, running),
		};
		return task.phase === 'starting' ? report(next, task, {case: 'started', value: {}}) : transition(next);
	};
}

/** Handles a task that is missing from a list of all tasks. Ignores a list that was requested before the last change of the task. */
function applyMissing(task: AgentTask, requestedAtMs: number, nowMs: number): StateUpdate {
	return state => {
		if (requestedAtMs <= task.changedAtMs) {
			return transition(state);
		}

		if (task.phase === 'ended') {
			const isAcknowledged = task.endEventId === undefined || !state.events.pending.has(task.endEventId);
			return transition(isAcknowledged ? {...state, tasks: state.tasks.delete(task.taskId)} : state);
		}

		if (task.phase === 'running') {
			// This is a fault of the worker, not a failure of the task; the task has stopped, so it may start again elsewhere.
			return endTask(state, task, ended(TaskOutcome.CANCELLED, 'the worker no longer lists the task'), nowMs);
		}

		// The worker refuses starts after their deadline, so an attempt that it does not list after the deadline never runs.
		const isDeadlinePassed = requestedAtMs >= state.worker.workerLeaseDeadlineMs;
		const isStopped = task.stopAnsweredAtMs !== undefined && requestedAtMs > task.stopAnsweredAtMs;
		return task.phase === 'starting' && !task.startInFlight && (isDeadlinePassed || isStopped)
			? refuseTask(state, task, isStopped ? 'stopped before it started' : 'the lease expired before the worker answered')
			: transition(state);
	};
}

/**
Applies the worker's task list. The list is authoritative for the ends of tasks: a task that is missing from it has ended, unless the list names only
some of the ends. A new agent registers after the first list that names all of them, or once the worker is lost.

@example
applyWorkerTasks(state, {kind: 'worker-tasks', nowMs, requestedAtMs, list});
*/
export function applyWorkerTasks(state: AgentState, event: AgentEventOf<'worker-tasks'>): Transition {
	const listedIds = new Set(event.list.tasks.map(task => task.taskId));
	const isMissing = ({taskId}: AgentTask): boolean => event.list.listedEnds === 'all' && !listedIds.has(taskId);
	return chain(
		{...state, worker: recordWorkerList(state.worker, event.list, event.nowMs), ledger: {...state.ledger, capacity: event.list.capacity}},
		...event.list.tasks.map(listed => applyListed(listed, event.nowMs)),
		current => chain(current, ...[...current.tasks.values()]
			.filter(task => isMissing(task))
			.map(task => applyMissing(task, event.requestedAtMs, event.nowMs))),
		current => transition(current, ...event.list.tasks.filter(listed => isDeletable(current, listed)).map((listed): AgentEffect => ({kind: 'delete-task', taskId: listed.taskId}))),
		startOrRefuseWaitingTasks(event.nowMs),
	);
}

/** Returns whether the worker may delete a task: its end was acknowledged and no later attempt has replaced it. */
function isDeletable(state: AgentState, listed: WorkerTask): boolean {
	const task = state.tasks.get(listed.taskId);
	return listed.phase !== 'running'
		&& task?.phase === 'ended'
		&& task.attempt === listed.attempt
		&& task.endEventId !== undefined
		&& !state.events.pending.has(task.endEventId);
}

/**
Removes acknowledged task events. When such an event reported the end of a task, the task is deleted at the worker.

@example
acknowledge(state, [3, 4]);
*/
export function acknowledge(state: AgentState, eventIds: readonly number[]): Transition {
	const ids = new Set(eventIds);
	const deletable = [...state.tasks.values()].filter(task => task.phase === 'ended' && task.endEventId !== undefined && ids.has(task.endEventId) && state.events.pending.has(task.endEventId));
	return transition(
		{...state, events: acknowledgeTaskEvents(state.events, eventIds)},
		...deletable.map((task): AgentEffect => ({kind: 'delete-task', taskId: task.taskId})),
	);
}

/**
Evicts running batch tasks, those with the most processors first, until a demand fits into the resources that will be free once they have stopped.

@example
evictForDemand(state, demand, 'backend server b3 announced itself');
*/
export function evictForDemand(state: AgentState, demand: Resources, reason: string): Transition {
	const batch = [...state.tasks.values()].filter(task => isRunningBatch(task)).toSorted((left, right) => right.limit.processorsMilli - left.limit.processorsMilli);
	let pendingRelease = noResources;
	for (const task of batch.filter(each => each.stopping !== undefined)) {
		pendingRelease = addResources(pendingRelease, task.limit);
	}

	const evicted: string[] = [];
	for (const task of batch.filter(each => each.stopping === undefined)) {
		if (fitsInto(demand, addResources(freeResources(state.ledger), pendingRelease))) {
			break;
		}

		evicted.push(task.taskId);
		pendingRelease = addResources(pendingRelease, task.limit);
	}

	return chain(state, ...evicted.map(taskId => (current: AgentState) => evictTask(current, taskId, reason)));
}

/**
Checkpoints and stops every run-once task: each one that is starting or running and is not latency-critical.

@example
checkpointRunOnceTasks(state, 'the agent stops');
*/
export function checkpointRunOnceTasks(state: AgentState, reason: string): Transition {
	return chain(state, ...[...state.tasks.values()]
		.filter(task => isLive(task) && !task.latencyCritical)
		.map(task => (current: AgentState) => evictTask(current, task.taskId, reason)));
}

/**
Removes the tasks of a worker process that has ended or has certainly stopped its tasks. Ended tasks whose end no entry has acknowledged
are retained, so that the new registration does not release their claims.

@example
dropLiveTasks(state).tasks.size; // => 0
*/
export function dropLiveTasks(state: AgentState): AgentState {
	return {
		...state,
		ledger: emptyLedger(state.ledger.capacity),
		tasks: state.tasks.filter(task => task.phase === 'ended' && task.endEventId !== undefined && state.events.pending.has(task.endEventId)),
	};
}

/**
Returns whether a run-once task may still run on this VM.

@example
hasRunOnceTasks(state);
*/
export function hasRunOnceTasks(state: AgentState): boolean {
	return state.tasks.some(task => isLive(task) && !task.latencyCritical);
}

/**
Returns whether any attempt may still run on this VM.

@example
hasLiveTasks(state);
*/
export function hasLiveTasks(state: AgentState): boolean {
	return state.tasks.some(task => isLive(task));
}
