import {Buffer} from 'node:buffer';
import {request} from 'undici';
import {type Result} from 'true-myth/result';
import {type ClusterState} from '../cluster/cluster-state.js';
import {decodeClusterState} from '../cluster/cluster-state-codec.js';
import {parseJson} from '../validation/parse-json.js';

const timeoutMs = 2000;

/** Largest state that is taken from a peer. */
const maxStateBytes = 256 * 1024 * 1024;

/** A peer whose state cannot be used; `reason` is short. */
export type UnusablePeer = Readonly<{address: string; reason: string}>;

/**
Requests the cluster state of the other entries, for a start while the log is unreachable. Resolves with the state of the highest
offset, or with undefined when no peer answers with one that can be used. `onUnusable` is called with each answer that cannot.

@example
const cluster = await fetchPeerState({addresses: ['127.0.0.1:7003'], token, onUnusable});
*/
export async function fetchPeerState({addresses, token, onUnusable}: Readonly<{
	addresses: readonly string[];
	token: string;
	onUnusable: (peer: UnusablePeer) => void;
}>): Promise<ClusterState | undefined> {
	const answers = await Promise.all(addresses.map(async address => {
		const bytes = await fetchFrom(address, token);
		const state = bytes && decodePeerState(bytes);
		if (state?.isErr) {
			onUnusable({address, reason: state.error});
		}

		return state?.unwrapOr(undefined);
	}));
	return answers
		.filter(answer => answer !== undefined)
		.toSorted((left, right) => right.offset - left.offset)[0];
}

/** Returns the body of a peer's answer; `undefined` without an answer. */
async function fetchFrom(address: string, token: string): Promise<Uint8Array | undefined> {
	try {
		const {statusCode, body} = await request(`http://${address}/peer-state`, {
			headers: {authorization: `Bearer ${token}`},
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
		});
		const chunks: Uint8Array[] = [];
		let size = 0;
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
			size += chunk.length;
			if (size > maxStateBytes) {
				return new Uint8Array();
			}
		}

		return statusCode === 200 ? Buffer.concat(chunks) : undefined;
	} catch {
		// At the first start of a cluster it is normal that peers are not running yet.
		return undefined;
	}
}

function decodePeerState(bytes: Uint8Array): Result<ClusterState, string> {
	return parseJson(new TextDecoder().decode(bytes)).andThen(value => decodeClusterState(value).mapErr(({message}) => message));
}
