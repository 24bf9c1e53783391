import {Buffer} from 'node:buffer';
import test from 'ava';
import {bundleForTests} from './bundle-for-tests.js';
import {requestWithLength, unfinishedHead} from './hostile-load.js';
import {checkUnderLoad, connectionsLoad, jobPath} from './hostile-site.js';

/* Guards against clients that don't read their answers, send requests without waiting for answers, or come and go. */

/** Requests of one connection in flight, as many as are allowed. */
const pipelinedRequests = 32;

const largestHead = 16_000;

const bundle = bundleForTests(test);

const stateRequest = `GET ${jobPath} HTTP/1.1\r\nhost: 127.0.0.1\r\n\r\n`;

test.serial('an entry outlives clients that pipeline requests and read no answer', async t => {
	await checkUnderLoad(t, {
		bundleDirectory: bundle.directory(), role: 'entry', loadsOn: ({entries: [entry]}) => [connectionsLoad({
			address: entry!.queueAddress,
			connections: 300,
			bytes: Buffer.from(stateRequest.repeat(pipelinedRequests * 50)),
			pieceBytes: stateRequest.length * pipelinedRequests,
			readsAnswers: false,
		})],
	});
});

test.serial('an entry outlives large jobs that are pipelined', async t => {
	const body = `{"spec":"${'a'.repeat(200_000)}"}`;
	const request = requestWithLength({method: 'POST', path: jobPath, body});
	await checkUnderLoad(t, {
		bundleDirectory: bundle.directory(), role: 'entry', rounds: 2, loadsOn: ({entries: [entry]}) => [connectionsLoad({
			address: entry!.queueAddress,
			connections: 100,
			bytes: Buffer.concat(Array.from({length: 8}, () => request)),
			readsAnswers: false,
		})],
	});
});

test.serial('an entry outlives requests with long queries and headers', async t => {
	const padding = 'a'.repeat((largestHead / 2) - 200);
	const head = Buffer.from(`GET /q/?${padding} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-padding: ${padding}\r\n\r\n`);
	await checkUnderLoad(t, {
		bundleDirectory: bundle.directory(), role: 'entry', rounds: 2, loadsOn: ({entries: [entry]}) => [
			connectionsLoad({address: entry!.queueAddress, connections: 1000, bytes: Buffer.concat([head, head, head])}),
			connectionsLoad({address: entry!.queueAddress, connections: 500, bytes: unfinishedHead(largestHead)}),
		],
	});
});

test.serial('an entry outlives clients that open and close connections in a loop', async t => {
	await checkUnderLoad(t, {
		bundleDirectory: bundle.directory(), role: 'entry', rounds: 12, loadsOn: ({entries: [entry]}) => [connectionsLoad({
			address: entry!.queueAddress,
			connections: 300,
			bytes: requestWithLength({
				method: 'POST', path: jobPath, body: `{"spec":"${'a'.repeat(65_536)}"}`, missingBytes: 1,
			}),
		})],
	});
});
