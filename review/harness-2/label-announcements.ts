import {once} from 'node:events';
import {createServer, request as sendRequest} from 'node:http';
import {json} from 'node:stream/consumers';
import {toObject} from '../../platform/parse-object.js';

/** Passes on an executor's announcements with other labels. */
export type AnnouncementLabels = Readonly<{close: () => void}>;

/**
Starts a server that passes the announcements of a stand-in executor on to its agent, with the labels of another kind of executor.

@example
const relay = await relabelAnnouncements({address: '127.0.0.1:20001', controlAddress: '127.0.0.1:20002', labels: ['b', 'r1-2']});
relay.close();
*/
export async function relabelAnnouncements({address, controlAddress, labels}: Readonly<{address: string; controlAddress: string; labels: readonly string[]}>): Promise<AnnouncementLabels> {
	const server = createServer((request, response) => {
		void (async () => {
			const announcement = toObject(await json(request));
			const [host, port] = controlAddress.split(':');
			const sent = sendRequest({
				host, port, path: request.url, method: request.method, headers: {'content-type': 'application/json'},
			}, answer => {
				response.writeHead(answer.statusCode ?? 500, {'content-type': 'application/json'});
				answer.pipe(response);
			});
			// The agent may not listen yet; the next announcement is the retry.
			sent.on('error', () => {
				response.destroy();
			});
			sent.end(JSON.stringify({...announcement, labels}));
		})();
	});
	const [host, port] = address.split(':');
	server.listen(Number(port), host);
	await once(server, 'listening');
	return {
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
