import process from 'node:process';
import {createServer, type Server} from 'node:net';

/** Ports below the kernel's range of ephemeral ports, so that the kernel assigns none of them to another socket between the search and its use. */
const firstPort = 20_000;
const portCount = 12_000;

// Test files run as concurrent processes with consecutive process IDs; the factor keeps their search ranges apart.
let portOffset = (process.pid * 97) % portCount;

async function tryPort(port: number): Promise<Server | undefined> {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(server);
		});
	});
}

/** Returns addresses on 127.0.0.1 whose ports are free at the time of the call. */
export async function findFreeAddresses(count: number): Promise<readonly string[]> {
	const servers: Server[] = [];
	const addresses: string[] = [];
	// All ports stay bound until the last one is found, so that none is found twice.
	while (addresses.length < count) {
		const port = firstPort + portOffset;
		portOffset = (portOffset + 1) % portCount;
		const server = await tryPort(port);
		if (server) {
			servers.push(server);
			addresses.push(`127.0.0.1:${port}`);
		}
	}

	await Promise.all(servers.map(async server => new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	})));
	return addresses;
}
