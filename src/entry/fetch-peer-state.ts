import {request} from 'undici';
import {type ClusterState} from '../cluster/cluster-state.js';
import {decodeClusterState} from '../cluster/cluster-state-codec.js';

const timeoutMs = 2000;

/**
Requests the cluster state of the other entries, for a start while the log is unreachable. Resolves with the state of the highest
offset, or with undefined when no peer answers.

@example
const cluster = await fetchPeerState({addresses: ['127.0.0.1:7003'], token});
*/
export async function fetchPeerState({addresses, token}: Readonly<{
	addresses: readonly string[];
	token: string;
}>): Promise<ClusterState | undefined> {
	const answers = await Promise.all(addresses.map(async address => fetchFrom(address, token)));
	return answers
		.filter(answer => answer !== undefined)
		.toSorted((left, right) => right.offset - left.offset)[0];
}

async function fetchFrom(address: string, token: string): Promise<ClusterState | undefined> {
	try {
		const {statusCode, body} = await request(`http://${address}/peer-state`, {
			headers: {authorization: `Bearer ${token}`},
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
		});
		const bytes = await body.bytes();
		return statusCode === 200 ? decodePeerState(bytes) : undefined;
	} catch {
		// At the first start of a cluster it is normal that peers are not running yet.
		return undefined;
	}
}

function decodePeerState(bytes: Uint8Array): ClusterState | undefined {
	return decodeClusterState(JSON.parse(new TextDecoder().decode(bytes))).unwrapOr(undefined);
}
