import {create} from '@bufbuild/protobuf';
import {type ClusterRecord} from '../src/cluster/cluster-record.js';
import {type ClusterState} from '../src/cluster/cluster-state.js';
import {type Job} from '../src/cluster/intent.js';
import {type EntryEffect} from '../src/entry/entry-effect.js';
import {type EntryEvent} from '../src/entry/entry-event.js';
import {type EntryState, initialEntryState} from '../src/entry/entry-state.js';
import {reduceEntry} from '../src/entry/reduce-entry.js';
import {
	TaskEndedSchema, type TaskEvent, TaskEventSchema, TaskOutcome, TaskStartedSchema,
} from '../src/generated/arbutushinge/v1/agent_pb.js';
import {type LoggedRecord} from '../src/log/log-envelope.js';
import {entrySettingsSchema} from '../src/settings/entry-settings.js';
import {heartbeatOf, helloOf} from './agent-messages.js';
import {type FleetSize} from './fleet.js';
import {percentile} from './percentile.js';

/** Processor time of one entry's reducer and delays of task starts, while the reducers of several entries share a log in memory in virtual time. */
export type StartLoadFigures = Readonly<{
	startsPerSecond: number;
	/** Processor time of the first entry's reducer per virtual second. */
	busyMsPerSecond: number;
	/** Mean microseconds per event, by kind. */
	eventUs: Readonly<Record<string, number>>;
	eventsPerSecond: Readonly<Record<string, number>>;
	/** Median and maximum milliseconds of a tick that includes the control work of an entry. */
	controlTickMs: number;
	controlTickMaxMs: number;
	/** Virtual milliseconds from the append of a job to the start command. */
	startMedianMs: number;
	startMaxMs: number;
}>;

const settings = entrySettingsSchema.parse({
	role: 'entry',
	entryId: 'entry-1',
	failureDomain: 'domain-0',
	callerAddress: '127.0.0.1:1',
	operatorAddress: '127.0.0.1:2',
	agentAddress: '127.0.0.1:3',
	operatorTokenFile: 'none',
	logServiceUrl: 'http://127.0.0.1:4',
});

const stepMs = 20;
const stepsPerHeartbeat = 1000 / stepMs;
const stepsPerTick = 2;
const controlIntervalMs = 250;
const tasksPerJob = 10;
const runTimeMs = 1500;
const warmUpMs = 2500;

type SimulatedEntry = {
	readonly incarnation: string;
	state: EntryState;
	sequence: number;
	appended: ClusterRecord[];
};

function createLoadJob(number: number, teams: number): Job {
	return {
		jobId: `load-${number}`,
		teamId: `team-${number % teams}`,
		workClass: 'batch',
		priority: 'normal',
		tasks: Array.from({length: tasksPerJob}, (_, position) => ({
			taskId: `load-${number}-${position}`, demand: {processorsMilli: 500, memoryMb: 512, accelerators: 0}, declaredRunTimeMs: runTimeMs, payload: 'p'.repeat(200),
		})),
	};
}

type EventCost = {count: number; totalMs: number};

/**
Runs the reducers of several entries over one log in virtual time: agents send a heartbeat a second to every entry, jobs
arrive at a fixed rate, and every started task ends after a short run time. Only the first entry is measured.

@example
runStartLoad({cluster, size, incarnations: ['e1', 'e2', 'e3'], startsPerSecond: 1000, virtualMs: 4000});
*/
export function runStartLoad({cluster, size, incarnations, startsPerSecond, virtualMs}: Readonly<{
	cluster: ClusterState;
	size: FleetSize;
	incarnations: readonly string[];
	startsPerSecond: number;
	virtualMs: number;
}>): StartLoadFigures {
	const entries = incarnations.map((incarnation): SimulatedEntry => ({
		incarnation,
		state: {...initialEntryState(incarnation), cluster},
		sequence: cluster.sequences.get(incarnation) ?? 0,
		appended: [],
	}));
	const costByKind = new Map<string, EventCost>();
	const controlTickDurationsMs: number[] = [];
	const startDelaysMs: number[] = [];
	const submittedAtMs = new Map<string, number>();
	const started = new Set<string>();
	let due: Array<Readonly<{atMs: number; index: number; event: TaskEvent}>> = [];
	let isMeasuring = false;
	let nowMs = 1_000_000;
	let nextEventId = 1n;
	let jobNumber = 0;
	let tasksToSubmit = 0;
	let startedCount = 0;

	function applyEffect(entry: SimulatedEntry, effect: EntryEffect): void {
		if (effect.kind === 'append-record') {
			entry.appended.push(effect.record);
		} else if (effect.kind === 'send-to-agent' && effect.command.case === 'startTask') {
			const {taskId = '', attempt = 1} = effect.command.value;
			const taskSubmittedAtMs = submittedAtMs.get(taskId);
			if (taskSubmittedAtMs === undefined || started.has(taskId)) {
				return;
			}

			started.add(taskId);
			if (isMeasuring) {
				startedCount++;
				startDelaysMs.push(nowMs - taskSubmittedAtMs);
			}

			const index = Number(effect.vmId.slice(3));
			due.push(
				{atMs: nowMs + stepMs, index, event: taskEvent(taskId, attempt, {case: 'started', value: create(TaskStartedSchema)})},
				{atMs: nowMs + runTimeMs, index, event: taskEvent(taskId, attempt, {case: 'ended', value: create(TaskEndedSchema, {outcome: TaskOutcome.FINISHED})})},
			);
		}
	}

	function taskEvent(taskId: string, attempt: number, outcome: TaskEvent['outcome']): TaskEvent {
		nextEventId++;
		return create(TaskEventSchema, {
			eventId: nextEventId, taskId, attempt, outcome,
		});
	}

	function dispatch(entry: SimulatedEntry, event: EntryEvent): void {
		const isControlTick = event.kind === 'tick' && nowMs - entry.state.lastControlTickMs >= controlIntervalMs;
		const startedAtMs = performance.now();
		const transition = reduceEntry(entry.state, event, {
			nowMs, wallTimeMs: nowMs, seed: nowMs % 65_521, pendingAppends: 0,
		}, settings);
		const eventDurationMs = performance.now() - startedAtMs;
		entry.state = transition.state;
		if (entry === entries[0] && isMeasuring) {
			const cost = costByKind.get(event.kind) ?? {count: 0, totalMs: 0};
			cost.count++;
			cost.totalMs += eventDurationMs;
			costByKind.set(event.kind, cost);
			if (isControlTick) {
				controlTickDurationsMs.push(eventDurationMs);
			}
		}

		for (const effect of transition.effects) {
			applyEffect(entry, effect);
		}
	}

	function submitJobs(): void {
		tasksToSubmit += (startsPerSecond * stepMs) / 1000;
		while (tasksToSubmit >= tasksPerJob) {
			tasksToSubmit -= tasksPerJob;
			jobNumber++;
			const job = createLoadJob(jobNumber, size.teams);
			for (const {taskId} of job.tasks) {
				submittedAtMs.set(taskId, nowMs);
			}

			entries[jobNumber % entries.length]!.appended.push({kind: 'job-submitted', job});
		}
	}

	function takeDueEvents(): typeof due {
		const events = due.filter(({atMs}) => atMs <= nowMs);
		due = due.filter(({atMs}) => atMs > nowMs);
		return events;
	}

	function takeLogPage(): readonly LoggedRecord[] {
		let {offset} = entries[0]!.state.cluster;
		return entries.flatMap(entry => {
			const records = entry.appended;
			entry.appended = [];
			return records.map((record): LoggedRecord => {
				offset++;
				entry.sequence++;
				return {
					offset,
					envelope: {
						writer: entry.incarnation, incarnation: entry.incarnation, sequence: entry.sequence, record,
					},
				};
			});
		});
	}

	const taskIdsOf = (index: number) => cluster.vms.get(`vm-${index}`)?.taskIds ?? [];
	for (const entry of entries) {
		dispatch(entry, {
			kind: 'log-page', records: [], readSentAtMs: nowMs, reachedTail: true,
		});
		for (let index = 0; index < size.vms; index++) {
			dispatch(entry, {kind: 'agent-hello', sessionId: `session-${index}`, hello: helloOf(index, size, taskIdsOf(index))});
		}
	}

	const endMs = nowMs + warmUpMs + virtualMs;
	const measuredFromMs = nowMs + warmUpMs;
	for (let step = 0; nowMs < endMs; step++) {
		nowMs += stepMs;
		isMeasuring = nowMs > measuredFromMs;
		submitJobs();
		const records = takeLogPage();
		for (const entry of entries) {
			dispatch(entry, {
				kind: 'log-page', records, readSentAtMs: nowMs, reachedTail: true,
			});
		}

		for (const {index, event} of takeDueEvents()) {
			dispatch(entries[index % entries.length]!, {kind: 'agent-task-events', sessionId: `session-${index}`, events: [event]});
		}

		for (let index = step % stepsPerHeartbeat; index < size.vms; index += stepsPerHeartbeat) {
			const sequence = Math.floor(step / stepsPerHeartbeat) + 1;
			const heartbeat = heartbeatOf({
				index, sequence, configurationOffset: cluster.configuration.offset, taskIds: taskIdsOf(index),
			});
			for (const entry of entries) {
				dispatch(entry, {kind: 'agent-heartbeat', sessionId: `session-${index}`, heartbeat});
			}
		}

		if (step % stepsPerTick === 0) {
			for (const entry of entries) {
				dispatch(entry, {kind: 'tick'});
			}
		}
	}

	const seconds = virtualMs / 1000;
	const costs = [...costByKind];
	return {
		startsPerSecond: startedCount / seconds,
		busyMsPerSecond: costs.reduce((sum, [, {totalMs}]) => sum + totalMs, 0) / seconds,
		eventUs: Object.fromEntries(costs.map(([kind, {count, totalMs}]) => [kind, (1000 * totalMs) / count])),
		eventsPerSecond: Object.fromEntries(costs.map(([kind, {count}]) => [kind, count / seconds])),
		controlTickMs: percentile(controlTickDurationsMs, 0.5),
		controlTickMaxMs: Math.max(...controlTickDurationsMs),
		startMedianMs: percentile(startDelaysMs, 0.5),
		startMaxMs: Math.max(0, ...startDelaysMs),
	};
}
