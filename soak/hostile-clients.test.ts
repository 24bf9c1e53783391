import {Buffer} from 'node:buffer';
import test, {type ExecutionContext} from 'ava';
import {bundleForTests} from './bundle-for-tests.js';
import {type HostileLoad, unfinishedBody, unfinishedHead} from './hostile-load.js';
import {
	announcementPath, checkUnderLoad as checkSiteUnderLoad, connectionsLoad, jobPath,
} from './hostile-site.js';
import {type Site} from './site.js';

/*
Guards against clients that end a process by what they leave open: bodies that stop short of their end, headers without an end, and idle
connections.
*/

const idle = Buffer.alloc(0);

const bundle = bundleForTests(test);

async function checkUnderLoad(t: ExecutionContext, role: 'entry' | 'agent', loadsOn: (site: Site) => readonly HostileLoad[]): Promise<void> {
	await checkSiteUnderLoad(t, {bundleDirectory: bundle.directory(), role, loadsOn: site => loadsOn(site).map(load => connectionsLoad(load))});
}

const bodies = [
	{chunkBytes: 1, entry: {connections: 16, bodyBytes: 60_000}, agent: {connections: 16, bodyBytes: 60_000}},
	{chunkBytes: 100, entry: {connections: 200, bodyBytes: 240_000}, agent: {connections: 400, bodyBytes: 60_000}},
	{chunkBytes: 32_768, entry: {connections: 1000, bodyBytes: 229_376}, agent: {connections: 2000, bodyBytes: 65_536}},
] as const;

for (const {chunkBytes, entry, agent} of bodies) {
	test.serial(`an entry outlives bodies in chunks of ${chunkBytes} bytes that stop short of their end`, async t => {
		await checkUnderLoad(t, 'entry', ({entries}) => [{
			address: entries[0]!.queueAddress,
			connections: entry.connections,
			bytes: unfinishedBody({
				method: 'POST', path: jobPath, bodyBytes: entry.bodyBytes, chunkBytes,
			}),
		}]);
	});

	test.serial(`an agent outlives announcements in chunks of ${chunkBytes} bytes that stop short of their end`, async t => {
		await checkUnderLoad(t, 'agent', ({agents}) => [{
			address: agents[0]!.controlAddress,
			connections: agent.connections,
			bytes: unfinishedBody({
				method: 'PUT', path: announcementPath, bodyBytes: agent.bodyBytes, chunkBytes,
			}),
		}]);
	});
}

test.serial('an entry bounds idle connections and those whose headers never end', async t => {
	await checkUnderLoad(t, 'entry', ({entries}) => [
		{address: entries[0]!.queueAddress, connections: 1500, bytes: idle},
		{address: entries[0]!.readinessAddress, connections: 500, bytes: idle},
		{address: entries[0]!.queueAddress, connections: 1500, bytes: unfinishedHead(8192)},
	]);
});

test.serial('an agent bounds idle connections and those whose headers never end', async t => {
	await checkUnderLoad(t, 'agent', ({agents}) => [
		{address: agents[0]!.controlAddress, connections: 1500, bytes: idle},
		{address: agents[0]!.controlAddress, connections: 1500, bytes: unfinishedHead(8192)},
	]);
});
