import {Map} from 'immutable';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type BackendServerReport, type UsageReport} from '../generated/arbutushinge/v1/agent_pb.js';
import {
	type InterferenceEstimates, type InterferenceSample, updateInterference, loadBandOf,
} from './interference-estimates.js';
import {
	kindsOnVm, serviceKindName, taskKindName, type WorkKind,
} from './work-kind.js';

type VmMoment = Readonly<{atMs: number; kinds: readonly WorkKind[]}>;

/** Kinds of work that recently ran together on each VM, newest last. */
export type VmHistory = Map<string, readonly VmMoment[]>;

export const noVmHistory: VmHistory = Map();

/** Limit of moments per VM: at one heartbeat a second it covers reports that lag by half a minute. */
const maxMomentsPerVm = 30;

/** Limit of task samples per report: each sample updates a pair with every kind on the VM, so the cost of using all tasks is quadratic in their number. */
const maxTaskSamplesPerReport = 6;

/** A heartbeat's measurements with the time at which this entry received them. */
export type UsageObservation = Readonly<{
	vmId: string;
	usage: UsageReport | undefined;
	backendServers: readonly BackendServerReport[];
	receivedAtMs: number;
}>;

/**
Records which work runs on a VM now, and updates the interference estimates from measurements by attributing their harm to the work that ran at
the time of the measurement.

@example
const next = observeUsage({estimates, history}, observation, cluster);
*/
export function observeUsage(
	before: Readonly<{estimates: InterferenceEstimates; history: VmHistory}>,
	observation: UsageObservation,
	cluster: ClusterState,
): Readonly<{estimates: InterferenceEstimates; history: VmHistory}> {
	const vm = cluster.vms.get(observation.vmId);
	if (!vm) {
		return before;
	}

	const moment: VmMoment = {atMs: observation.receivedAtMs, kinds: kindsOnVm(vm, cluster)};
	const moments = [...(before.history.get(vm.vmId) ?? []).slice(1 - maxMomentsPerVm), moment];
	const history = before.history.set(vm.vmId, moments);
	const {usage} = observation;
	if (!usage) {
		return {...before, history};
	}

	const measuredAtMs = observation.receivedAtMs - usage.measuredAgeMs;
	const kinds = moments.findLast(({atMs}) => atMs <= measuredAtMs)?.kinds;
	if (!kinds) {
		// The measurement is older than this entry's history of the VM.
		return {...before, history};
	}

	const loadBand = loadBandOf(usage.processorsUsedMilli, vm.capacity.processorsMilli);
	const samples = [...samplesOfTasks(selectTasks(usage.tasks, observation.receivedAtMs), cluster), ...samplesOfServices(observation, cluster)];
	let {estimates} = before;
	for (const sample of samples) {
		estimates = updateInterference(estimates, {...sample, kinds, loadBand});
	}

	return {estimates, history};
}

type HarmSample = Pick<InterferenceSample, 'harmedKind' | 'harmMilli'>;

/** Returns the tasks of a report to update the estimates from; the first one varies with the time of receipt, so that all tasks are sampled over time. */
function selectTasks(tasks: UsageReport['tasks'], receivedAtMs: number): UsageReport['tasks'] {
	if (tasks.length <= maxTaskSamplesPerReport) {
		return tasks;
	}

	const start = Math.floor(receivedAtMs) % tasks.length;
	return [...tasks.slice(start), ...tasks.slice(0, start)].slice(0, maxTaskSamplesPerReport);
}

function samplesOfTasks(tasks: UsageReport['tasks'], cluster: ClusterState): readonly HarmSample[] {
	return tasks.flatMap(({taskId, relativeSpeedMilli}) => {
		const task = cluster.tasks.get(taskId);
		return task && relativeSpeedMilli > 0
			? [{harmedKind: taskKindName(task), harmMilli: Math.max(0, 1000 - relativeSpeedMilli)}]
			: [];
	});
}

function samplesOfServices({backendServers}: UsageObservation, cluster: ClusterState): readonly HarmSample[] {
	return backendServers.flatMap(({service, latencyP99Ms}) => {
		const targetMs = cluster.configuration.services.get(service)?.latencyTargetMs;
		return targetMs !== undefined && latencyP99Ms > 0
			? [{harmedKind: serviceKindName(service), harmMilli: Math.max(0, Math.round(1000 * (1 - (targetMs / latencyP99Ms))))}]
			: [];
	});
}
