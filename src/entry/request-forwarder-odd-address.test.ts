import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import test from 'ava';
import {type RequestEvent} from '../requests/request-event.js';
import {type CallerExchanges} from './caller-exchange.js';
import {createRequestForwarder} from './request-forwarder.js';

const ignore = (): void => undefined;

test('a forward to an address that cannot be used ends as not sent, so that another backend server is tried', async t => {
	const exchanges: CallerExchanges = new Map();
	const events: RequestEvent[] = [];
	const forwarder = createRequestForwarder({
		exchanges,
		dispatch(event) {
			events.push(event);
		},
		log: {
			debug: ignore, info: ignore, warn: ignore, error: ignore,
		},
		concurrency: 4,
	});
	const addresses = ['10.1.0.13:99999', '10.1.0.13:-1', '10.1.0.13', '', 'x y', '[::'];
	for (const [index, requestAddress] of addresses.entries()) {
		const requestId = `r${index}`;
		exchanges.set(requestId, {
			requestId, service: 's', method: 'GET', target: '/', headers: [], body: undefined, response: new ServerResponse(new IncomingMessage(new Socket())),
		});
		forwarder.forward({
			kind: 'forward-request', requestId, attempt: 1, backendServerId: 'b1', service: 's', vmId: 'vm-1', requestAddress, agentIncarnation: 'a1', remainingMs: 1000,
		});
	}

	await forwarder.close();
	const results = events.map(event => event.kind === 'forward-finished' && event.result.kind);
	t.deepEqual(results, addresses.map(() => 'not-sent'));
});
