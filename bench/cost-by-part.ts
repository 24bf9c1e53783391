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
const partByFunction: Readonly<Record<string, string>> = {
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
};

const idleNames: ReadonlySet<string> = new Set(['(idle)']);
const ownNames: Readonly<Record<string, string>> = {'(garbage collector)': 'garbageCollection', '(program)': 'nativeCode'};

/** Returns the part of a module's functions that have no part by name. */
function partByModule(url: string): string | undefined {
	if (url.startsWith('node:internal/modules') || url.startsWith('node:internal/bootstrap')) {
		return 'startUp';
	}

	if (url.includes('http2')) {
		return 'streams';
	}

	return url.startsWith('node:') ? /\w+$/v.exec(url)?.[0] ?? url : undefined;
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
		const {callFrame: {functionName, url}, children = []} = nodeById.get(id)!;
		const part = idleNames.has(functionName) ? 'idle' : (ownNames[functionName] ?? partByFunction[functionName] ?? (inherited === 'other' ? partByModule(url) ?? inherited : inherited));
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
