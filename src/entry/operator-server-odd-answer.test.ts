import test from 'ava';
import {err, ok} from 'true-myth/result';
import {request} from 'undici';
import {emptyStateFixture, planFixture} from '../operator/state-fixture.js';
import {startOperatorServer} from './operator-server.js';

const ignore = (): void => undefined;

test('an answer that cannot be converted to JSON is an error of its request, and the next one is answered', async t => {
	const lines: string[] = [];
	const token = 'test-token-0123456789';
	const server = await startOperatorServer({
		address: '127.0.0.1:0',
		token,
		eventLog: {
			debug: ignore,
			info: ignore,
			warn: ignore,
			error(event) {
				lines.push(event);
			},
		},
		backend: {
			state: () => emptyStateFixture,
			computePlan: () => ok(planFixture),
			confirm: async plan => ({
				planId: plan.planId, result: 'accepted', offset: 21, reason: '',
			}),
			liveness: () => ({
				appliedOffsetByVm: {}, appliedOffsetByEntry: {}, logReachable: true, tailAgeMs: 5,
			}),
			timeline: async () => [],
			records: async () => err({kind: 'log-unavailable', message: 'no answer', remedy: 'try again later'}),
			snapshot: async () => ok({snapshot: {coversOffset: 1, value: JSON.parse(`${'['.repeat(50_000)}${']'.repeat(50_000)}`) as unknown}}),
			explainRequest: () => undefined,
			encodeState: () => new Uint8Array(),
		},
	});
	const statusOf = async (path: string): Promise<number> => {
		const answer = await request(`http://127.0.0.1:${server.port}${path}`, {headers: {authorization: `Bearer ${token}`}, headersTimeout: 2000});
		await answer.body.dump();
		return answer.statusCode;
	};

	t.is(await statusOf('/snapshot'), 500);
	t.deepEqual(lines, ['operator-request-failed']);
	t.is(await statusOf('/status'), 200);
	await server.close();
});
