import {createServer, type Server} from 'node:net';

/** Finds addresses on 127.0.0.1 whose ports are free at the time of the call. */
export async function findFreeAddresses(count: number): Promise<readonly string[]> {
	const servers: Server[] = [];
	const addresses: string[] = [];
	// All ports are held until the last is found, so that none is found twice.
	for (let index = 0; index < count; index++) {
		const server = createServer();
		servers.push(server);
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(0, '127.0.0.1', resolve);
		});
		const bound = server.address();
		if (typeof bound !== 'object' || !bound) {
			throw new Error('a server on 127.0.0.1 has no port');
		}

		addresses.push(`127.0.0.1:${bound.port}`);
	}

	await Promise.all(servers.map(async server => new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	})));
	return addresses;
}
