import {request as sendRequest} from 'node:http';
import {sleep} from './site.js';

/** Sends one request and resolves with its status and body; the status is 0 without an answer in time. */
export async function call(address, {method, path, host, body, timeoutMs = 3000}) {
	const [hostname, port] = address.split(':');
	return new Promise(resolve => {
		const text = body === undefined ? undefined : JSON.stringify(body);
		const sent = sendRequest({
			hostname, port, method, path, agent: false, headers: {
				...(host && {host}), 'deadline-ms': String(timeoutMs), ...(text !== undefined && {'content-type': 'application/json'}),
			},
		}, response => {
			let answer = '';
			response.setEncoding('utf8');
			response.on('data', chunk => {
				answer += chunk;
			});
			response.once('end', () => {
				clearTimeout(timer);
				resolve({status: response.statusCode, body: answer});
			});
			response.once('error', () => {
				clearTimeout(timer);
				resolve({status: 0, body: ''});
			});
		});
		const timer = setTimeout(() => {
			sent.destroy(new Error('no answer in time'));
		}, timeoutMs);
		sent.once('error', () => {
			clearTimeout(timer);
			resolve({status: 0, body: ''});
		});
		sent.end(text);
	});
}

/** Waits until all entries are ready; returns whether they are in time. */
export async function waitUntilReady(site, timeoutMs) {
	const untilMs = performance.now() + timeoutMs;
	while (performance.now() < untilMs) {
		const answers = await Promise.all(site.edges.map(async node => call(site.readinessOf(node), {method: 'GET', path: '/arbutushinge/ready', timeoutMs: 1000})));
		if (answers.every(({status}) => status === 200)) {
			return true;
		}

		await sleep(200);
	}

	return false;
}

/** Makes calls for many things, at most `width` at a time. */
export async function forEachAtMost(values, width, run) {
	const waiting = [...values];
	await Promise.all(Array.from({length: width}, async () => {
		for (let value = waiting.shift(); value !== undefined; value = waiting.shift()) {
			await run(value);
		}
	}));
}
