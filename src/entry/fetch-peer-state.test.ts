import {createServer} from 'node:http';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import {encodeClusterState} from '../cluster/cluster-state-codec.js';
import {emptyClusterState} from '../cluster/reduce-cluster.js';
import {fetchPeerState} from './fetch-peer-state.js';

/** Starts a peer that answers with a body, and returns its address. */
async function startPeer(t: ExecutionContext, body: string): Promise<string> {
	const server = createServer((_request, response) => {
		response.end(body);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const address = server.address();
	return `127.0.0.1:${typeof address === 'object' ? address?.port : 0}`;
}

test('a peer whose state cannot be used is named, and the state of another one is used', async t => {
	const stateAt = (offset: number): string => JSON.stringify(encodeClusterState({...emptyClusterState, offset}));
	const odd = [
		'[['.repeat(50_000),
		'null',
		stateAt(7).replace('"offset":7', '"offset":1e300'),
		stateAt(7).replace('"offset":7', '"offset":1e400'),
		stateAt(7).replace('"offset":7', '"offset":-9'),
		stateAt(7).replace('"expiredVmIds":[]', `"expiredVmIds":${'['.repeat(50_000)}${']'.repeat(50_000)}`),
		stateAt(99).replace('"entityOffsets":[]', '"entityOffsets":[["vm/vm-1",100]]'),
	];
	const addresses = await Promise.all([...odd, stateAt(5), stateAt(3)].map(async body => startPeer(t, body)));
	const unusable: string[] = [];
	const state = await fetchPeerState({
		addresses: [...addresses, '127.0.0.1:1', '127.0.0.1:99999'],
		token: 'token',
		onUnusable({address, reason}) {
			unusable.push(address);
			t.true(reason.length < 500);
		},
	});
	t.is(state?.offset, 5);
	t.deepEqual(unusable.toSorted(), addresses.slice(0, odd.length).toSorted());
});
