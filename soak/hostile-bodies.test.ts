import test, {type ExecutionContext} from 'ava';
import {bundleForTests} from './bundle-for-tests.js';
import {requestWithLength, unfinishedBody} from './hostile-load.js';
import {
	announcementPath, checkUnderLoad, connectionsLoad, jobPath, type SiteLoad,
} from './hostile-site.js';

/*
Guards against crowds of large bodies of legal size: bytes that the kernel takes in while the process is busy or refuses them, and the garbage
of what is decoded from them.
*/

/** Largest body of a job, and of an announcement. */
const maxJobBytes = 262_144;
const maxAnnouncementBytes = 65_536;

/** Connections of a crowd that end their bodies, of ten. */
const endedOfTen = 1;

const bundle = bundleForTests(test);

/** Repeats a part of a JSON list until the list has a size. */
const listOf = (part: string, bytes: number): string => `[${Array.from({length: Math.floor(bytes / (part.length + 1))}, () => part).join(',')}]`;

const smallSteps = `{"steps":${listOf('{"cpu":1}', maxJobBytes - 20)}}`;
const nestedArrays = '['.repeat(maxJobBytes / 2) + ']'.repeat(maxJobBytes / 2);
const unfinishedText = `{"spec":"${'a'.repeat(maxJobBytes - 20)}"}`;

type Crowd = Readonly<{
	title: string;
	connections: number;
	body: string;
	/** Whether nine of ten connections leave out the last byte. */
	stopsShort: boolean;
	rounds: number;
	pieceBytes?: number;
}>;

const crowdsOfJobs: readonly Crowd[] = [
	{
		title: 'whole, most of them one byte short', connections: 1000, body: unfinishedText, stopsShort: true, rounds: 4,
	},
	{
		title: 'in pieces of 4 KB, most of them one byte short', connections: 400, body: unfinishedText, stopsShort: true, rounds: 2, pieceBytes: 4096,
	},
	{
		title: 'of small steps, whole and ended', connections: 1000, body: smallSteps, stopsShort: false, rounds: 4,
	},
	{
		title: 'of nested arrays, whole and ended', connections: 800, body: nestedArrays, stopsShort: false, rounds: 4,
	},
];

function loadsOf({connections, body, stopsShort, pieceBytes}: Crowd, address: string): readonly SiteLoad[] {
	const ended = stopsShort ? connections * endedOfTen / 10 : connections;
	return [
		{connections: connections - ended, missingBytes: 1},
		{connections: ended, missingBytes: 0},
	].map(load => connectionsLoad({
		address,
		connections: load.connections,
		...(pieceBytes !== undefined && {pieceBytes}),
		bytes: requestWithLength({
			method: 'POST', path: jobPath, body, missingBytes: load.missingBytes,
		}),
	}));
}

async function checkCrowd(t: ExecutionContext, crowd: Crowd): Promise<void> {
	await checkUnderLoad(t, {
		bundleDirectory: bundle.directory(), role: 'entry', rounds: crowd.rounds, loadsOn: ({entries: [entry]}) => loadsOf(crowd, entry!.queueAddress),
	});
}

for (const crowd of crowdsOfJobs) {
	test.serial(`an entry outlives a crowd of jobs of 256 KB ${crowd.title}`, checkCrowd, crowd);
}

test.serial('an entry outlives a crowd of chunked jobs of 256 KB that stop short of their end', async t => {
	await checkUnderLoad(t, {
		bundleDirectory: bundle.directory(), role: 'entry', rounds: 3, loadsOn: ({entries: [entry]}) => [connectionsLoad({
			address: entry!.queueAddress,
			connections: 1000,
			bytes: unfinishedBody({
				method: 'POST', path: jobPath, bodyBytes: maxJobBytes - 16_384, chunkBytes: 16_384,
			}),
		})],
	});
});

test.serial('an agent outlives a crowd of announcements of 64 KB, most of them one byte short', async t => {
	const body = `{"service":"${'a'.repeat(maxAnnouncementBytes - 20)}"}`;
	await checkUnderLoad(t, {
		bundleDirectory: bundle.directory(), role: 'agent', rounds: 4, loadsOn: ({agents: [agent]}) => [
			{connections: 810, missingBytes: 1},
			{connections: 90, missingBytes: 0},
		].map(({connections, missingBytes}) => connectionsLoad({
			address: agent!.controlAddress,
			connections,
			bytes: requestWithLength({
				method: 'PUT', path: announcementPath, body, missingBytes,
			}),
		})),
	});
});
