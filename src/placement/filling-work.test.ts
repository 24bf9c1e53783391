import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {nextFillingRoomMilli} from '../agent/filling-room.js';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {applyRecord, emptyClusterState} from '../cluster/reduce-cluster.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type Step} from '../cluster/workflow.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {placeQueuedTasks} from './place-queued-tasks.js';
import {initialPlacement, type PlacementState} from './placement-state.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

const vmIds = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
const vmMilli = 16_000;
const taskMilli = 1800;
const runTimeMs = 4000;
const tickMs = 100;
const measureIntervalMs = 500;
const objective = {stretchMilli: 2000, slackMs: 1000};

type Outcome = Readonly<{submitted: number; inTime: number; finished: number}>;

/**
Simulates an overload of bulk jobs of filling tasks on VMs with one serving task each, and counts the jobs that have finished, in time or at
all, `lengthMs` after the start.
*/
function simulateOverload({servingMilli, jobsEveryMs, overloadMs, lengthMs}: Readonly<{servingMilli: number; jobsEveryMs: number; overloadMs: number; lengthMs: number}>): Outcome {
	let cluster: ClusterState = emptyClusterState;
	let placement: PlacementState = initialPlacement;
	let sequence = 0;
	const append = (record: ClusterRecord): void => {
		sequence++;
		cluster = applyRecord(cluster, {
			offset: cluster.offset + 1, envelope: {
				writer: 'e', incarnation: 'i', sequence, record,
			},
		});
	};

	const submit = (jobId: string, step: Step, submittedAtMs: number): void => {
		append({
			kind: 'job-submitted', job: {
				jobId, teamId: 'team', workClass: 'batch', priority: step.fillsIdle ? 'background' : 'urgent', tasks: [], workflow: {
					queue: 'queue', service: 'loaves', payload: '', steps: [step], maxFailures: 2, objective: {submittedAtMs, ...objective},
				},
			},
		});
	};

	/** Returns the running filling tasks with their speed: those of a VM share the processors that its serving task does not commit. */
	const runningTasks = () => vmIds.flatMap(vmId => {
		const filling = [...cluster.vms.get(vmId)!.taskIds].filter(taskId => taskId.startsWith('bulk'));
		const speed = Math.min(1, (vmMilli - servingMilli) / (filling.length * taskMilli));
		return filling.map(taskId => ({taskId, vmId, speed}));
	});

	/** Returns the processors available to filling tasks, as the agents would report them. */
	const measureAvailable = (before: PlacementState['fillingRoomByVm']) => immutableMap(vmIds.flatMap(vmId => {
		const vmTasks = runningTasks().filter(task => task.vmId === vmId);
		const demandCores = vmTasks.length * taskMilli / 1000;
		const roomMilli = nextFillingRoomMilli(before.get(vmId), {demandCores, usedCores: vmTasks.reduce((sum, {speed}) => sum + speed, 0) * taskMilli / 1000});
		return roomMilli === undefined ? [] : [[vmId, roomMilli] as const];
	}));

	append({
		kind: 'entry-registered', entryId: 'e', failureDomain: 'a', operatorAddress: '127.0.0.1:1',
	});
	for (const vmId of vmIds) {
		append({
			kind: 'vm-registered', vmId, agentIncarnation: vmId, workerIncarnation: vmId, failureDomain: 'a', rack: 'r', requestAddress: '127.0.0.1:2',
			capacity: {processorsMilli: vmMilli, memoryMb: 64_000, accelerators: 0}, runningTasks: [], service: 'loaves', labels: [], workerStartedAtMs: 1,
		});
	}

	submit('serving', {
		count: vmIds.length, demand: {processorsMilli: servingMilli, memoryMb: 1000, accelerators: 0}, declaredRunTimeMs: 1, longRunning: true, latencyTargetMs: 45, maxTasksPerVm: 1, image: 'lookup',
	}, 0);
	const workMs = new Map<string, number>();
	let submitted = 0;
	let inTime = 0;
	let finished = 0;
	for (let nowMs = 0; nowMs < lengthMs; nowMs += tickMs) {
		if (nowMs < overloadMs && nowMs % jobsEveryMs === 0) {
			submit(`bulk-${submitted}`, {
				count: 4 + (submitted % 5), demand: {processorsMilli: taskMilli, memoryMb: 1000, accelerators: 0}, declaredRunTimeMs: runTimeMs, fillsIdle: true, image: 'stress',
			}, nowMs);
			submitted++;
		}

		if (nowMs % measureIntervalMs === 0) {
			placement = {...placement, fillingRoomByVm: measureAvailable(placement.fillingRoomByVm)};
		}

		const placed = placeQueuedTasks(placement, {
			cluster, settings, incarnation: 'i', nowMs, wallTimeMs: nowMs, tailConfirmedSentAtMs: nowMs, pendingAppends: 0, seed: 999,
		});
		placement = placed.state;
		for (const effect of placed.effects) {
			if (effect.kind === 'append-record') {
				append(effect.record);
			}
		}

		for (const {taskId, vmId, speed} of runningTasks()) {
			const doneMs = (workMs.get(taskId) ?? 0) + (speed * tickMs);
			workMs.set(taskId, doneMs);
			if (doneMs < runTimeMs) {
				continue;
			}

			const {attempt, jobId} = cluster.tasks.get(taskId)!;
			const {submittedAtMs} = cluster.workflows.get(jobId)!.workflow.objective!;
			append({
				kind: 'task-ended', taskId, attempt, agentIncarnation: vmId, outcome: 'finished', reason: '',
			});
			const allowedMs = (objective.stretchMilli * runTimeMs / 1000) + objective.slackMs;
			const isFinished = cluster.finishedWorkflows.has(jobId);
			finished += isFinished ? 1 : 0;
			inTime += isFinished && nowMs + tickMs - submittedAtMs <= allowedMs ? 1 : 0;
		}
	}

	return {submitted, inTime, finished};
}

/** Guards against an overload in which each bulk job that has waited long takes processors from the jobs that can still be in time. */
test('during an overload of bulk jobs on VMs with serving tasks the few idle processors go to jobs that can be in time', t => {
	const {submitted, inTime, finished} = simulateOverload({
		servingMilli: 12_000, jobsEveryMs: 1500, overloadMs: 120_000, lengthMs: 300_000,
	});
	t.true(inTime >= 0.4 * submitted, `${inTime} of ${submitted} in time`);
	t.is(finished, submitted, 'the other jobs run after the overload');
});
