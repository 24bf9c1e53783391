import {connect} from 'node:net';
import {sleep} from './site.js';

/**
Keeps connections to an address open until `stop` is called; each sends the same bytes and reads what it is answered. A connection that is closed is
opened again after a pause.
*/
export function startCrowd({address, connections, bytes, pauseMs}) {
	const [host, port] = address.split(':');
	const sockets = new Set();
	let isStopped = false;
	let opened = 0;
	let closed = 0;

	const isOpen = () => !isStopped;

	async function keep() {
		while (isOpen()) {
			await new Promise(resolve => {
				const socket = connect(Number(port), host);
				sockets.add(socket);
				socket.on('connect', () => {
					opened++;
					socket.write(bytes);
				});
				socket.on('error', () => {
					socket.destroy();
				});
				socket.on('close', () => {
					closed++;
					sockets.delete(socket);
					resolve();
				});
				socket.resume();
			});
			await sleep(pauseMs);
		}
	}

	for (let index = 0; index < connections; index++) {
		keep();
	}

	return {
		counts: () => ({opened, closed}),
		stop() {
			isStopped = true;
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
