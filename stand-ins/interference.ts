/**
Slowdown in thousandths that a neighbour causes when it uses the whole VM, by the kind of the slowed work and the kind of the neighbour:
at 1,000, the work takes twice as long. The key `*` matches any other kind.
*/
export type InterferenceTable = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Slowdowns of the default kinds of work; they differ clearly between pairs of kinds. */
export const defaultInterferenceTable: InterferenceTable = {
	'*': {'*': 200},
	'stress-run': {'*': 200, 'stress-run': 700, 'curing-watch': 50},
	'curing-watch': {'*': 100, 'stress-run': 400},
	service: {'*': 300, 'stress-run': 1500, 'curing-watch': 100},
};

/** Kind of a neighbour's payload, and the processors that it uses in millicores. */
export type Neighbour = Readonly<{kind: string; processorsMilli: number}>;

/**
Returns the slowdown, in thousandths, of work of one kind by a neighbour of another kind that uses the whole VM.

@example
slowdownMilliOf({'*': {'*': 200}}, 'stress-run', 'curing-watch');
// => 200
*/
export function slowdownMilliOf(table: InterferenceTable, kindOfWork: string, neighbourKind: string): number {
	const row = table[kindOfWork] ?? table['*'] ?? {};
	return row[neighbourKind] ?? row['*'] ?? 0;
}

/**
Computes the speed of work among its neighbours as a fraction of its speed alone. Each neighbour adds its slowdown times the share of
the VM's processors that it uses.

@example
relativeSpeed({'*': {'*': 1000}}, 'a', [{kind: 'b', processorsMilli: 2000}], 4000);
// => 0.6666666666666666
*/
export function relativeSpeed(table: InterferenceTable, kind: string, neighbours: readonly Neighbour[], capacityProcessorsMilli: number): number {
	let slowdown = 0;
	for (const neighbour of neighbours) {
		const load = Math.min(1, neighbour.processorsMilli / Math.max(1, capacityProcessorsMilli));
		slowdown += slowdownMilliOf(table, kind, neighbour.kind) * load / 1000;
	}

	return 1 / (1 + slowdown);
}
