import {Map} from 'immutable';
import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {kindsOnVm, taskKindName, type WorkKind} from './work-kind.js';

/** Harm of one kind of work to another, with the number of samples behind it. */
type Estimate = Readonly<{meanMilli: number; samples: number}>;

/** Learned harm by load band, harming and harmed kind; harm is the lost speed in thousandths. */
export type InterferenceEstimates = Readonly<{
	byPair: Map<string, Estimate>;
	/** Mean over all pairs, which estimates with few samples shrink to. */
	overall: Estimate;
}>;

export const noInterferenceEstimates: InterferenceEstimates = {byPair: Map(), overall: {meanMilli: 0, samples: 0}};

/** What one report says of one harmed kind: its lost speed while it ran beside the others. */
export type InterferenceSample = Readonly<{
	harmedKind: string;
	harmMilli: number;
	/** The kinds that ran on the VM at the time measured, the harmed one included. */
	kinds: readonly WorkKind[];
	loadBand: number;
}>;

/** Upper bounds of the load bands in thousandths of the VM's processors. */
const bandBoundsMilli: readonly number[] = [500, 800];

/** Samples that the overall mean counts for in each pair. */
const priorSamples = 6;

/** Weight of a new sample once many were seen, so that estimates follow a changing load. */
const minLearningRate = 0.05;

/** Pairs kept; the least sampled ones are dropped beyond it. */
const maxPairs = 20_000;

/** Pairs that are left then; the sort of all pairs is paid once for the difference. */
const keptPairs = 10_000;

/**
Tells the load band of a VM.

@example
loadBandOf(12_000, 16_000); // => 1
*/
export function loadBandOf(processorsUsedMilli: number, processorsMilli: number): number {
	const shareMilli = processorsMilli === 0 ? 0 : (1000 * processorsUsedMilli) / processorsMilli;
	const band = bandBoundsMilli.findIndex(bound => shareMilli < bound);
	return band === -1 ? bandBoundsMilli.length : band;
}

/**
Learns from one sample: the part of the harm that the estimates do not explain is credited in equal parts to those
who ran beside the harmed kind.

@example
const next = learnInterference(estimates, {harmedKind: 'service/loaf-ordering', harmMilli: 300, kinds, loadBand: 1});
*/
export function learnInterference(estimates: InterferenceEstimates, sample: InterferenceSample): InterferenceEstimates {
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
			pairs.update(pairKey(sample.loadBand, name, sample.harmedKind), {meanMilli: 0, samples: 0}, known => move(known, unexplainedMilli));
		}
	});
	const perNeighbour = sample.harmMilli / total;
	return {
		byPair: byPair.size > maxPairs ? dropLeastSampled(byPair) : byPair,
		overall: move(estimates.overall, perNeighbour - estimates.overall.meanMilli),
	};
}

function move(known: Estimate, differenceMilli: number): Estimate {
	const rate = Math.max(minLearningRate, 1 / (known.samples + 1));
	return {
		meanMilli: Math.min(1000, Math.max(0, known.meanMilli + (rate * differenceMilli))),
		samples: known.samples + 1,
	};
}

function dropLeastSampled(pairs: Map<string, Estimate>): Map<string, Estimate> {
	const bySamples = [...pairs].toSorted(([, left], [, right]) => right.samples - left.samples);
	return Map(bySamples.slice(0, keptPairs));
}

/** The other kinds; of the harmed kind itself, all but one. */
function neighboursOf(kinds: readonly WorkKind[], harmedKind: string): readonly WorkKind[] {
	return kinds
		.map(kind => (kind.name === harmedKind ? {...kind, count: kind.count - 1} : kind))
		.filter(({count}) => count > 0);
}

/**
Estimates the harm of one kind to another, shrunk towards the overall mean while samples are few.

@example
estimateHarm(estimates, {harming: 'task/stress-run', harmed: 'service/loaf-ordering', loadBand: 2}); // => 140
*/
export function estimateHarm(
	estimates: InterferenceEstimates,
	pair: Readonly<{harming: string; harmed: string; loadBand: number}>,
): number {
	const known = estimates.byPair.get(pairKey(pair.loadBand, pair.harming, pair.harmed));
	const samples = known?.samples ?? 0;
	const sum = (samples * (known?.meanMilli ?? 0)) + (priorSamples * estimates.overall.meanMilli);
	return sum / (samples + priorSamples);
}

function pairKey(loadBand: number, harming: string, harmed: string): string {
	return `${loadBand}|${harming}|${harmed}`;
}

/** Harm that placing a task is expected to do, in thousandths of the speed of what it harms. */
export type ExpectedHarm = Readonly<{serviceHarmMilli: number; batchHarmMilli: number}>;

/**
Estimates the harm between a task and what is bound to a VM, in both directions, at the load that the placement results in.

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
