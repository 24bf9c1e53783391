import {Map} from 'immutable';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type BackendServerReport, type UsageReport} from '../generated/arbutushinge/v1/agent_pb.js';
import {
	type InterferenceEstimates, type InterferenceSample, learnInterference, loadBandOf,
} from './interference-estimates.js';
import {
	kindsOnVm, serviceKindName, taskKindName, type WorkKind,
} from './work-kind.js';

type VmMoment = Readonly<{atMs: number; kinds: readonly WorkKind[]}>;

/** What ran together on each VM in the recent past, newest last. */
export type VmHistory = Map<string, readonly VmMoment[]>;

export const noVmHistory: VmHistory = Map();

/** Moments kept for each VM: at one heartbeat a second, enough for reports that lag by half a minute. */
const keptMoments = 30;

/** Each sample updates one pair for every kind on the VM, so that learning from all tasks costs the square of their number. */
const learnedTasksPerReport = 6;

/** A heartbeat's measurements with the time at which this entry received them. */
export type UsageObservation = Readonly<{
	vmId: string;
	usage: UsageReport | undefined;
	backendServers: readonly BackendServerReport[];
	receivedAtMs: number;
}>;

/**
Remembers what runs on a VM now, and learns from measurements by crediting their harm to what ran at the time measured.

@example
const next = observeUsage({estimates, history}, observation, cluster);
*/
export function observeUsage(
	known: Readonly<{estimates: InterferenceEstimates; history: VmHistory}>,
	observation: UsageObservation,
	cluster: ClusterState,
): Readonly<{estimates: InterferenceEstimates; history: VmHistory}> {
	const vm = cluster.vms.get(observation.vmId);
	if (!vm) {
		return known;
	}

	const moment: VmMoment = {atMs: observation.receivedAtMs, kinds: kindsOnVm(vm, cluster)};
	const moments = [...(known.history.get(vm.vmId) ?? []).slice(1 - keptMoments), moment];
	const history = known.history.set(vm.vmId, moments);
	const {usage} = observation;
	if (!usage) {
		return {...known, history};
	}

	const measuredAtMs = observation.receivedAtMs - usage.measuredAgeMs;
	const kinds = moments.findLast(({atMs}) => atMs <= measuredAtMs)?.kinds;
	if (!kinds) {
		// The report describes a time that this entry did not observe.
		return {...known, history};
	}

	const loadBand = loadBandOf(usage.processorsUsedMilli, vm.capacity.processorsMilli);
	const samples = [...samplesOfTasks(learnedTasks(usage.tasks, observation.receivedAtMs), cluster), ...samplesOfServices(observation, cluster)];
	let {estimates} = known;
	for (const sample of samples) {
		estimates = learnInterference(estimates, {...sample, kinds, loadBand});
	}

	return {estimates, history};
}

type HarmSample = Pick<InterferenceSample, 'harmedKind' | 'harmMilli'>;

/** The tasks of a report that are learned from; where they start varies with the time of receipt. */
function learnedTasks(tasks: UsageReport['tasks'], receivedAtMs: number): UsageReport['tasks'] {
	if (tasks.length <= learnedTasksPerReport) {
		return tasks;
	}

	const start = Math.floor(receivedAtMs) % tasks.length;
	return [...tasks.slice(start), ...tasks.slice(0, start)].slice(0, learnedTasksPerReport);
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
