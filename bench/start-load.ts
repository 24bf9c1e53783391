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

/** What one entry spent while several reducers shared a log in memory for some virtual time. */
export type StartLoadFigures = Readonly<{
	startsPerSecond: number;
	/** Processor time of the first entry's reducer per virtual second. */
	busyMsPerSecond: number;
	/** Microseconds of one event by kind. */
	eventUs: Readonly<Record<string, number>>;
	eventsPerSecond: Readonly<Record<string, number>>;
	/** Milliseconds of a tick that includes the round of control. */
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
const heartbeatSteps = 1000 / stepMs;
const ticksEverySteps = 2;
const controlTickMs = 250;
const tasksPerJob = 10;
const runTimeMs = 1500;
const warmUpMs = 2500;

type Sim = {
	readonly incarnation: string;
	state: EntryState;
	sequence: number;
	appended: ClusterRecord[];
};

function loadJob(number: number, teams: number): Job {
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

type Usage = {count: number; totalMs: number};

/**
Runs the reducers of several entries over one log in virtual time: agents send a heartbeat a second to every entry, jobs
arrive at a fixed rate, and every started task ends after a short run time. Only the first entry is timed.

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
	const sims = incarnations.map((incarnation): Sim => ({
		incarnation,
		state: {...initialEntryState(incarnation), cluster},
		sequence: cluster.sequences.get(incarnation) ?? 0,
		appended: [],
	}));
	const usageByKind = new Map<string, Usage>();
	const controlTicks: number[] = [];
	const startMs: number[] = [];
	const submittedAtMs = new Map<string, number>();
	const started = new Set<string>();
	let due: Array<Readonly<{atMs: number; index: number; event: TaskEvent}>> = [];
	let isTimed = false;
	let nowMs = 1_000_000;
	let nextEventId = 1n;
	let jobNumber = 0;
	let owedTasks = 0;
	let startedCount = 0;

	function execute(sim: Sim, effect: EntryEffect): void {
		if (effect.kind === 'append-record') {
			sim.appended.push(effect.record);
		} else if (effect.kind === 'send-to-agent' && effect.command.case === 'startTask') {
			const {taskId = '', attempt = 1} = effect.command.value;
			const submitted = submittedAtMs.get(taskId);
			if (submitted === undefined || started.has(taskId)) {
				return;
			}

			started.add(taskId);
			if (isTimed) {
				startedCount++;
				startMs.push(nowMs - submitted);
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

	function dispatch(sim: Sim, event: EntryEvent): void {
		const isControlTick = event.kind === 'tick' && nowMs - sim.state.lastControlTickMs >= controlTickMs;
		const startedAtMs = performance.now();
		const step = reduceEntry(sim.state, event, {
			nowMs, wallTimeMs: nowMs, seed: nowMs % 65_521, pendingAppends: 0,
		}, settings);
		const tookMs = performance.now() - startedAtMs;
		sim.state = step.state;
		if (sim === sims[0] && isTimed) {
			const usage = usageByKind.get(event.kind) ?? {count: 0, totalMs: 0};
			usage.count++;
			usage.totalMs += tookMs;
			usageByKind.set(event.kind, usage);
			if (isControlTick) {
				controlTicks.push(tookMs);
			}
		}

		for (const effect of step.effects) {
			execute(sim, effect);
		}
	}

	function submitJobs(): void {
		owedTasks += (startsPerSecond * stepMs) / 1000;
		while (owedTasks >= tasksPerJob) {
			owedTasks -= tasksPerJob;
			jobNumber++;
			const job = loadJob(jobNumber, size.teams);
			for (const {taskId} of job.tasks) {
				submittedAtMs.set(taskId, nowMs);
			}

			sims[jobNumber % sims.length]!.appended.push({kind: 'job-submitted', job});
		}
	}

	function takeDueEvents(): typeof due {
		const events = due.filter(({atMs}) => atMs <= nowMs);
		due = due.filter(({atMs}) => atMs > nowMs);
		return events;
	}

	function takePage(): readonly LoggedRecord[] {
		let {offset} = sims[0]!.state.cluster;
		return sims.flatMap(sim => {
			const records = sim.appended;
			sim.appended = [];
			return records.map((record): LoggedRecord => {
				offset++;
				sim.sequence++;
				return {
					offset,
					envelope: {
						writer: sim.incarnation, incarnation: sim.incarnation, sequence: sim.sequence, record,
					},
				};
			});
		});
	}

	const taskIdsOf = (index: number) => cluster.vms.get(`vm-${index}`)?.taskIds ?? [];
	for (const sim of sims) {
		dispatch(sim, {
			kind: 'log-page', records: [], readSentAtMs: nowMs, reachedTail: true,
		});
		for (let index = 0; index < size.vms; index++) {
			dispatch(sim, {kind: 'agent-hello', sessionId: `session-${index}`, hello: helloOf(index, size, taskIdsOf(index))});
		}
	}

	const endMs = nowMs + warmUpMs + virtualMs;
	const timedFromMs = nowMs + warmUpMs;
	for (let step = 0; nowMs < endMs; step++) {
		nowMs += stepMs;
		isTimed = nowMs > timedFromMs;
		submitJobs();
		const records = takePage();
		for (const sim of sims) {
			dispatch(sim, {
				kind: 'log-page', records, readSentAtMs: nowMs, reachedTail: true,
			});
		}

		for (const {index, event} of takeDueEvents()) {
			dispatch(sims[index % sims.length]!, {kind: 'agent-task-events', sessionId: `session-${index}`, events: [event]});
		}

		for (let index = step % heartbeatSteps; index < size.vms; index += heartbeatSteps) {
			const sequence = Math.floor(step / heartbeatSteps) + 1;
			const heartbeat = heartbeatOf({
				index, sequence, configurationOffset: cluster.configuration.offset, taskIds: taskIdsOf(index),
			});
			for (const sim of sims) {
				dispatch(sim, {kind: 'agent-heartbeat', sessionId: `session-${index}`, heartbeat});
			}
		}

		if (step % ticksEverySteps === 0) {
			for (const sim of sims) {
				dispatch(sim, {kind: 'tick'});
			}
		}
	}

	const seconds = virtualMs / 1000;
	const usages = [...usageByKind];
	return {
		startsPerSecond: startedCount / seconds,
		busyMsPerSecond: usages.reduce((sum, [, {totalMs}]) => sum + totalMs, 0) / seconds,
		eventUs: Object.fromEntries(usages.map(([kind, {count, totalMs}]) => [kind, (1000 * totalMs) / count])),
		eventsPerSecond: Object.fromEntries(usages.map(([kind, {count}]) => [kind, count / seconds])),
		controlTickMs: percentile(controlTicks, 0.5),
		controlTickMaxMs: Math.max(...controlTicks),
		startMedianMs: percentile(startMs, 0.5),
		startMaxMs: Math.max(0, ...startMs),
	};
}
