import {z} from 'zod';

/** The parts of a V8 processor profile that are used here; times are in microseconds. */
export const profileSchema = z.object({
	nodes: z.array(z.object({
		id: z.number(),
		callFrame: z.object({functionName: z.string(), url: z.string()}),
		children: z.array(z.number()).optional(),
	})),
	samples: z.array(z.number()),
	timeDeltas: z.array(z.number()),
}).readonly();

export type Profile = z.infer<typeof profileSchema>;

/** Functions that tell which part of a process a sample belongs to; the one nearest to the top of the stack decides. */
const partByFunction: ReadonlyMap<string, string> = new Map(Object.entries({
	applyRecords: 'applyRecords',
	decodeLogValue: 'decodeRecords',
	decodeRecords: 'decodeRecords',
	placeQueuedTasks: 'placement',
	reduceTick: 'ticks',
	reduceLogPage: 'logPages',
	reduceAgentEvent: 'agentMessages',
	encodeClusterState: 'snapshots',
	decodeClusterState: 'snapshots',
	readRaw: 'logReads',
	appendFrames: 'appends',
	handle: 'callers',
	createQueueServer: 'startUp',
	compileProgram: 'startUp',
	runProcess: 'startUp',
	report: 'monitor',
	reduceAgent: 'agentReducer',
	exchange: 'httpCalls',
	toBinary: 'messages',
	fromBinary: 'messages',
	info: 'logLines',
	warn: 'logLines',
	timingMs: 'metrics',
	gauge: 'metrics',
	increment: 'metrics',
}));

const idleNames: ReadonlySet<string> = new Set(['(idle)']);
const ownNames: ReadonlyMap<string, string> = new Map([['(garbage collector)', 'garbageCollection'], ['(program)', 'nativeCode']]);

/** Parts by the names of Node.js modules, for functions below none of `partByFunction`. */
const partByModule: ReadonlyArray<readonly [module: RegExp, part: string]> = [
	[/^node:internal\/(?:modules|bootstrap|main)\//v, 'startUp'],
	[/http2/v, 'streams'],
	[/_http|net$|stream/v, 'httpAndSockets'],
	[/timers|abort_controller/v, 'timers'],
	[/^node:/v, 'runtime'],
];

/** Returns the part of a module's functions; undefined for those of the program. */
function partOfModule(url: string): string | undefined {
	return partByModule.find(([module]) => module.test(url))?.[1];
}

function partOfFrame({functionName, url}: Profile['nodes'][number]['callFrame'], inherited: string): string {
	if (idleNames.has(functionName)) {
		return 'idle';
	}

	const named = ownNames.get(functionName) ?? partByFunction.get(functionName);
	return named ?? (inherited === 'other' ? partOfModule(url) ?? inherited : inherited);
}

/**
Returns the processor time in milliseconds that a profile shows for each part of a process, largest first.

@example
costByPart(profile).placement; // => 412
*/
export function costByPart({nodes, samples, timeDeltas}: Profile): Readonly<Record<string, number>> {
	const partById = new Map<number, string>();
	const nodeById = new Map(nodes.map(node => [node.id, node]));
	const visit = (id: number, inherited: string): void => {
		const {callFrame, children = []} = nodeById.get(id)!;
		const part = partOfFrame(callFrame, inherited);
		partById.set(id, part);
		for (const child of children) {
			visit(child, part);
		}
	};

	visit(nodes[0]!.id, 'other');
	const costs = new Map<string, number>();
	for (const [index, id] of samples.entries()) {
		const part = partById.get(id) ?? 'other';
		costs.set(part, (costs.get(part) ?? 0) + ((timeDeltas[index] ?? 0) / 1000));
	}

	costs.delete('idle');
	const total = [...costs.values()].reduce((sum, ms) => sum + ms, 0);
	return Object.fromEntries([['total', total], ...[...costs].toSorted(([, left], [, right]) => right - left)]);
}
