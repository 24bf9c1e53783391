import {Buffer} from 'node:buffer';
import {connect, type ClientHttp2Session} from 'node:http2';
import test from 'ava';
import {createOperatorClient} from '../src/operator/operator-client.js';
import {type BackendServerStandIn, createBackendServerStandIn} from '../stand-ins/backend-server-stand-in.js';
import {bundleForTests} from './bundle-for-tests.js';
import {requestWithLength, unfinishedBody} from './hostile-load.js';
import {
	checkUnderLoad, connectionsLoad, isAnswered, operatorToken, type SiteLoad,
} from './hostile-site.js';
import {type Site} from './site.js';

/*
Guards against clients of the streams: bodies that are passed on to a backend server in one-byte chunks, and messages of agents that are larger
than any agent sends.
*/

const service = 'orders';
const backendServerId = 'backend-server-1';

const waitMs = 30_000;

/** Longer than a test, so that no request ends by its deadline. */
const deadlineMs = 120_000;

/** Largest body of a keyed request. */
const keyedBodyBytes = 1_048_576;

/** The first message of a hostile stream, of which the last byte is missing. */
const messageBytes = 33_554_432;
const writeBytes = 1_048_576;

const bundle = bundleForTests(test);

async function admitService(operatorAddress: string): Promise<void> {
	const client = createOperatorClient({addresses: [operatorAddress], token: operatorToken});
	const plan = await client.computePlan({
		kind: 'admit-service',
		service: {
			service, teamId: 'team-1', latencyTargetMs: 1000, demandPerBackendServer: {processorsMilli: 1000, memoryMb: 256, accelerators: 0},
		},
	});
	if (plan.isErr) {
		throw new Error(plan.error.message);
	}

	const confirmation = await client.confirm(plan.value);
	await client.close();
	if (confirmation.isErr) {
		throw new Error(confirmation.error.message);
	}
}

/** Starts a backend server of the service and waits until the agent knows it. */
async function announceBackendServer({agents: [agent]}: Site): Promise<BackendServerStandIn> {
	const backendServer = await createBackendServerStandIn({
		backendServerId, service, slots: 8, connections: 64, announceMs: 500, agentUrl: `http://${agent!.requestAddress}`,
	});
	await agent!.current().waitForLine(/event=backend-server-announced/v, waitMs);
	return backendServer;
}

/** Starts a backend server of the service and waits until callers reach it. */
async function startBackendServer(site: Site, {serviceTimeMs = 0} = {}): Promise<() => Promise<void>> {
	const {entries: [entry]} = site;
	await admitService(entry!.operatorAddress);
	const backendServer = await announceBackendServer(site);
	if (!await isAnswered(entry!.current(), `http://${entry!.callerAddress}/services/${service}/`)) {
		throw new Error('no caller reaches the backend server');
	}

	backendServer.setFaults({serviceTimeMs});
	return async () => {
		await backendServer.close();
	};
}

/** Requests of a legal size that each have a key of their own, so that an entry retains their bodies. */
function keyedRequests(address: string, connections: number): readonly SiteLoad[] {
	return Array.from({length: connections}, (_, index) => connectionsLoad({
		address,
		connections: 1,
		bytes: requestWithLength({
			method: 'POST', path: `/services/${service}/`, body: 'a'.repeat(keyedBodyBytes), headers: [`idempotency-key: key-${index}`, `x-arbutushinge-deadline-ms: ${deadlineMs}`],
		}),
	}));
}

function bodyInOneByteChunks(target: string, headers: readonly string[]): Buffer {
	const body = unfinishedBody({
		method: 'POST', path: target, bodyBytes: 60_000, chunkBytes: 1,
	}).toString();
	return Buffer.from(body.replace('\r\n', `\r\n${headers.join('\r\n')}\r\n`));
}

test.serial('an entry outlives bodies for a backend server in one-byte chunks that stop short of their end', async t => {
	await checkUnderLoad(t, {
		bundleDirectory: bundle.directory(), role: 'entry', prepare: async site => startBackendServer(site), loadsOn: ({entries: [entry]}) => [connectionsLoad({
			address: entry!.callerAddress,
			connections: 100,
			bytes: bodyInOneByteChunks(`/services/${service}/`, [`x-arbutushinge-deadline-ms: ${deadlineMs}`]),
		})],
	});
});

test.serial('an entry outlives keyed requests of 1 MB that wait for a backend server', async t => {
	await checkUnderLoad(t, {
		bundleDirectory: bundle.directory(), role: 'entry', prepare: async site => startBackendServer(site, {serviceTimeMs: deadlineMs}), loadsOn: ({entries: [entry]}) => keyedRequests(entry!.callerAddress, 100),
	});
});

test.serial('an agent outlives bodies for a backend server in one-byte chunks that stop short of their end', async t => {
	await checkUnderLoad(t, {
		bundleDirectory: bundle.directory(), role: 'agent', async prepare(site) {
			const {close} = await announceBackendServer(site);
			return close;
		}, loadsOn: ({agents: [agent]}) => [connectionsLoad({
			address: agent!.requestAddress,
			connections: 100,
			bytes: bodyInOneByteChunks(`/requests/${service}/`, [
				`x-arbutushinge-deadline-ms: ${deadlineMs}`, `x-arbutushinge-backend-server: ${backendServerId}`, 'x-arbutushinge-request-id: r1',
			]),
		})],
	});
});

/** Opens connections of agents that each send the beginning of a large message. */
function largeMessages(address: string, connections: number): SiteLoad {
	async function openStream(): Promise<ClientHttp2Session> {
		const session = connect(`http://${address}`);
		session.on('error', () => {
			session.destroy();
		});
		const stream = session.request({':method': 'POST', ':path': '/arbutushinge.v1.AgentSession/Connect', 'content-type': 'application/connect+proto'});
		stream.on('error', () => {
			session.destroy();
		});
		stream.resume();
		// A refused stream has ended before it is closed.
		const over = new Promise<void>(resolve => {
			stream.once('end', resolve);
			stream.once('close', resolve);
		});
		const envelope = Buffer.alloc(5);
		envelope.writeUInt32BE(messageBytes, 1);
		stream.write(envelope);
		const piece = Buffer.alloc(writeBytes);
		for (let sentBytes = writeBytes; sentBytes < messageBytes && !stream.readableEnded && !stream.destroyed; sentBytes += writeBytes) {
			const written = new Promise<void>(resolve => {
				stream.write(piece, () => {
					resolve();
				});
			});
			await Promise.race([written, over]);
		}

		return session;
	}

	return {
		address,
		async send() {
			const sessions = await Promise.all(Array.from({length: connections}, async () => openStream()));
			return () => {
				for (const session of sessions) {
					session.destroy();
				}
			};
		},
	};
}

test.serial('an entry outlives messages of agents that are larger than any agent sends', async t => {
	await checkUnderLoad(t, {bundleDirectory: bundle.directory(), role: 'entry', loadsOn: ({entries: [entry]}) => [largeMessages(entry!.agentAddress, 16)]});
});
