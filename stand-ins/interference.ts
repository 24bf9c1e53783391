/**
Harm in thousandths by the kind of the harmed task and the kind of the harming one, for a neighbour that uses the whole VM:
1,000 halves the speed. The figures are chosen so that pairs differ clearly; `*` stands for any other kind.
*/
export type HarmTable = Readonly<Record<string, Readonly<Record<string, number>>>>;

export const defaultHarmTable: HarmTable = {
	'*': {'*': 200},
	'stress-run': {'*': 200, 'stress-run': 700, 'curing-watch': 50},
	'curing-watch': {'*': 100, 'stress-run': 400},
	service: {'*': 300, 'stress-run': 1500, 'curing-watch': 100},
};

/** A task's payload kind and the processors it may use. */
export type Neighbour = Readonly<{kind: string; processorsMilli: number}>;

/**
Looks up the harm of one pair of kinds.

@example
harmOf({'*': {'*': 200}}, 'stress-run', 'curing-watch');
// => 200
*/
export function harmOf(table: HarmTable, harmedKind: string, harmingKind: string): number {
	const row = table[harmedKind] ?? table['*'] ?? {};
	return row[harmingKind] ?? row['*'] ?? 0;
}

/**
Computes the speed of a task beside its neighbours as a fraction of its speed alone: each neighbour adds its harm times its
load, which is its share of the VM's processors.

@example
relativeSpeed({'*': {'*': 1000}}, 'a', [{kind: 'b', processorsMilli: 2000}], 4000);
// => 0.6666666666666666
*/
export function relativeSpeed(table: HarmTable, kind: string, neighbours: readonly Neighbour[], capacityProcessorsMilli: number): number {
	let slowdown = 0;
	for (const neighbour of neighbours) {
		const load = Math.min(1, neighbour.processorsMilli / Math.max(1, capacityProcessorsMilli));
		slowdown += harmOf(table, kind, neighbour.kind) * load / 1000;
	}

	return 1 / (1 + slowdown);
}
