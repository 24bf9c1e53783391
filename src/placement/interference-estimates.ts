import {Map} from 'immutable';
import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {kindsOnVm, taskKindName, type WorkKind} from './work-kind.js';

/** Estimated harm of one kind of work to another, with its number of samples. */
type Estimate = Readonly<{meanMilli: number; samples: number}>;

/** Estimated harm by load band, harming kind and harmed kind. Harm: share of its speed that work loses through its neighbours, in thousandths. */
export type InterferenceEstimates = Readonly<{
	byPair: Map<string, Estimate>;
	/** Mean over all pairs, towards which estimates with few samples are shrunk. */
	overall: Estimate;
}>;

export const noInterferenceEstimates: InterferenceEstimates = {byPair: Map(), overall: {meanMilli: 0, samples: 0}};

/** Harm to one kind of work in one report, while it ran on the same VM as others. */
export type InterferenceSample = Readonly<{
	harmedKind: string;
	harmMilli: number;
	/** Kinds that ran on the VM at the time of the measurement, the harmed one included. */
	kinds: readonly WorkKind[];
	loadBand: number;
}>;

/** Upper bounds of the load bands in thousandths of the VM's processors. */
const loadBandBoundsMilli: readonly number[] = [500, 800];

/** Weight of the overall mean in the estimate of a pair, as a number of samples. */
const priorSamples = 6;

/** Minimum weight of a new sample, so that estimates follow a changing load. */
const minLearningRate = 0.05;

/** Limit of stored pairs, beyond which the ones with the fewest samples are evicted. */
const maxPairs = 20_000;

/** Pairs that remain after an eviction; evicting many at once makes the sort of all pairs rare. */
const retainedPairs = 10_000;

/**
Returns the load band of a VM, by the share of its processors in use.

@example
loadBandOf(12_000, 16_000); // => 1
*/
export function loadBandOf(processorsUsedMilli: number, processorsMilli: number): number {
	const shareMilli = processorsMilli === 0 ? 0 : (1000 * processorsUsedMilli) / processorsMilli;
	const band = loadBandBoundsMilli.findIndex(bound => shareMilli < bound);
	return band === -1 ? loadBandBoundsMilli.length : band;
}

/**
Updates the estimates from one sample: the part of the harm that they do not explain is attributed in equal parts to the neighbours of the
harmed work.

@example
const next = updateInterference(estimates, {harmedKind: 'service/loaf-ordering', harmMilli: 300, kinds, loadBand: 1});
*/
export function updateInterference(estimates: InterferenceEstimates, sample: InterferenceSample): InterferenceEstimates {
	const harming = neighboursOf(sample.kinds, sample.harmedKind);
	if (harming.length === 0) {
		return estimates;
	}

	let total = 0;
	let predictedMilli = 0;
	for (const {name, count} of harming) {
		total += count;
		predictedMilli += count * (estimates.byPair.get(pairKey(sample.loadBand, name, sample.harmedKind))?.meanMilli ?? 0);
	}

	const unexplainedMilli = (sample.harmMilli - predictedMilli) / total;
	const byPair = estimates.byPair.withMutations(pairs => {
		for (const {name} of harming) {
			pairs.update(pairKey(sample.loadBand, name, sample.harmedKind), {meanMilli: 0, samples: 0}, estimate => updateEstimate(estimate, unexplainedMilli));
		}
	});
	const perNeighbour = sample.harmMilli / total;
	return {
		byPair: byPair.size > maxPairs ? evictLeastSampled(byPair) : byPair,
		overall: updateEstimate(estimates.overall, perNeighbour - estimates.overall.meanMilli),
	};
}

function updateEstimate(before: Estimate, differenceMilli: number): Estimate {
	const rate = Math.max(minLearningRate, 1 / (before.samples + 1));
	return {
		meanMilli: Math.min(1000, Math.max(0, before.meanMilli + (rate * differenceMilli))),
		samples: before.samples + 1,
	};
}

function evictLeastSampled(pairs: Map<string, Estimate>): Map<string, Estimate> {
	const bySamples = [...pairs].toSorted(([, left], [, right]) => right.samples - left.samples);
	return Map(bySamples.slice(0, retainedPairs));
}

/** Returns the neighbours of one instance of the harmed kind: all other kinds, and all but one of its own. */
function neighboursOf(kinds: readonly WorkKind[], harmedKind: string): readonly WorkKind[] {
	return kinds
		.map(kind => (kind.name === harmedKind ? {...kind, count: kind.count - 1} : kind))
		.filter(({count}) => count > 0);
}

/**
Estimates the harm of one kind to another in thousandths, shrunk towards the overall mean while samples are few.

@example
estimateHarm(estimates, {harming: 'task/stress-run', harmed: 'service/loaf-ordering', loadBand: 2}); // => 140
*/
export function estimateHarm(
	estimates: InterferenceEstimates,
	pair: Readonly<{harming: string; harmed: string; loadBand: number}>,
): number {
	const estimate = estimates.byPair.get(pairKey(pair.loadBand, pair.harming, pair.harmed));
	const samples = estimate?.samples ?? 0;
	const sum = (samples * (estimate?.meanMilli ?? 0)) + (priorSamples * estimates.overall.meanMilli);
	return sum / (samples + priorSamples);
}

function pairKey(loadBand: number, harming: string, harmed: string): string {
	return `${loadBand}|${harming}|${harmed}`;
}

/** Expected harm between a task and the work on a VM, in thousandths. */
export type ExpectedHarm = Readonly<{serviceHarmMilli: number; batchHarmMilli: number}>;

/**
Estimates the harm between a task and the work that is bound to a VM, in both directions, at the load after the placement.

@example
harmOfPlacement(estimates, task, vm, cluster); // => {serviceHarmMilli: 120, batchHarmMilli: 40}
*/
export function harmOfPlacement(
	estimates: InterferenceEstimates,
	task: Task,
	vm: Vm,
	cluster: ClusterState,
): ExpectedHarm {
	const taskKind = taskKindName(task);
	const isService = task.workClass === 'latency-critical';
	const loadBand = loadBandOf(vm.committed.processorsMilli + task.spec.demand.processorsMilli, vm.capacity.processorsMilli);
	let serviceHarmMilli = 0;
	let batchHarmMilli = 0;
	for (const kind of kindsOnVm(vm, cluster)) {
		const toNeighbour = kind.count * estimateHarm(estimates, {harming: taskKind, harmed: kind.name, loadBand});
		const toTask = kind.count * estimateHarm(estimates, {harming: kind.name, harmed: taskKind, loadBand});
		serviceHarmMilli += (kind.isService ? toNeighbour : 0) + (isService ? toTask : 0);
		batchHarmMilli += (kind.isService ? 0 : toNeighbour) + (isService ? 0 : toTask);
	}

	return {serviceHarmMilli: Math.round(serviceHarmMilli), batchHarmMilli: Math.round(batchHarmMilli)};
}
