import type {AgentState} from './agent-state.js';
import {checkpointRunOnceTasks, hasLiveTasks, hasRunOnceTasks} from './task-handlers.js';
import {transition, type Transition} from './transition.js';
import {isSilent} from './worker-view.js';

/** Longest wait for entries to acknowledge the last task events at a graceful stop. */
const acknowledgementTimeoutMs = 3000;

/** Returns whether the worker has ended or probably ends soon: it is lost, announced that it leaves, or does not answer. */
function isWorkerEnding({worker, settings}: AgentState, nowMs: number): boolean {
	return worker.leaving || worker.isPollFailing || isSilent(worker, {nowMs, ...settings.timings});
}

/** Returns whether the tasks of a lost worker are given up but not yet in the log: entries grant a lease only once they have read the registration. */
function isRegistrationPending({worker, lease}: AgentState): boolean {
	return worker.lost && lease.deadlineMs === undefined;
}

/**
Returns whether claims would stay until the leases of the VM expire if the agent stopped now, since nobody else can prove the end of the worker. An
agent that has not received any list does not know the claims of its predecessor; it waits only if nothing seems to listen.
*/
function wouldLeaveClaims(state: AgentState, nowMs: number): boolean {
	const {worker, phase} = state;
	if (worker.lost) {
		return isRegistrationPending(state);
	}

	return phase === 'counting'
		? worker.isUnreached || worker.connectionRefused !== undefined
		: hasLiveTasks(state) && isWorkerEnding(state, nowMs);
}

/** Returns whether a stop that leaves the tasks to the next agent is done: nothing is pending, or a time-out has passed. */
function isKeepingStopDone(state: AgentState, sinceMs: number, nowMs: number): boolean {
	const isDone = state.events.pending.size === 0 && !state.requests.some(request => request.runs) && !wouldLeaveClaims(state, nowMs);
	const limitMs = isWorkerEnding(state, nowMs) ? Math.max(acknowledgementTimeoutMs, state.settings.timings.workerEndTimeoutMs) : acknowledgementTimeoutMs;
	return isDone || nowMs - sinceMs >= limitMs;
}

/**
Advances a graceful stop: waits for requests in flight, then stops run-once tasks, then waits for acknowledgements. When `tasksAtStop` is
`keep`, no task is stopped; the agent then waits for the end of a worker that is ending, and for the record of it, so that its tasks start again
elsewhere without waiting for the VM's leases to expire. It does not wait for a worker that answers.

@example
chain(state, advanceStop(nowMs));
*/
export function advanceStop(nowMs: number): (state: AgentState) => Transition {
	return state => {
		const {stop} = state;
		if (stop === undefined || stop.finished) {
			return transition(state);
		}

		const finished: AgentState = {...state, stop: {...stop, finished: true}};
		const {drainTimeoutMs} = state.settings.timings;
		if (!stop.tasksStopped && state.settings.tasksAtStop === 'keep') {
			return isKeepingStopDone(state, stop.sinceMs, nowMs) ? transition(finished, {kind: 'finish-stop'}) : transition(state);
		}

		if (!stop.tasksStopped) {
			return state.requests.some(request => request.runs) && nowMs - stop.sinceMs < drainTimeoutMs
				? transition(state)
				: checkpointRunOnceTasks({...state, stop: {...stop, tasksStopped: true, sinceMs: nowMs}}, 'the agent stops');
		}

		const isReported = !hasRunOnceTasks(state) && state.events.pending.size === 0 && !isRegistrationPending(state);
		const limitMs = hasRunOnceTasks(state) ? drainTimeoutMs : acknowledgementTimeoutMs;
		return isReported || nowMs - stop.sinceMs >= limitMs ? transition(finished, {kind: 'finish-stop'}) : transition(state);
	};
}
