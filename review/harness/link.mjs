import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** Time of the first repetition of a segment without an acknowledgement; each further one takes twice as long. */
const firstRepetitionMs = 200;

/** Returns when a segment that was first sent at a time is repeated next, at or after another time. */
function nextRepetitionMs(sentAtMs, afterMs) {
	let atMs = sentAtMs;
	for (let pauseMs = firstRepetitionMs; atMs < afterMs; pauseMs *= 2) {
		atMs += pauseMs;
	}

	return atMs;
}

/**
Starts a link: a proxy that can be cut. A cut is silent. What is sent during it arrives when it has healed, with the next repetition of TCP, if its
sender has not given up before.
*/
export async function startLink({host, port, target}) {
	let isCut = false;
	let healedAtMs = Number.NEGATIVE_INFINITY;
	let healed = Promise.resolve();
	let resolveHealed = () => undefined;

	/** Waits until what was sent at a time arrives. */
	async function arrival(sentAtMs) {
		if (!isCut) {
			return;
		}

		await healed;

		await delay(Math.max(0, nextRepetitionMs(sentAtMs, healedAtMs) - performance.now()));
	}

	function forward(from, to) {
		let previous = Promise.resolve();
		const inOrder = action => {
			const sentAtMs = performance.now();
			previous = previous.then(async () => {
				await arrival(sentAtMs);
				action();
			});
		};

		from.on('data', chunk => {
			inOrder(() => {
				if (!to.destroyed) {
					to.write(chunk);
				}
			});
		});
		from.on('end', () => {
			inOrder(() => {
				to.end();
			});
		});
		from.on('error', () => {
			to.destroy();
		});
	}

	const server = createServer({allowHalfOpen: true}, client => {
		const [targetHost, targetPort] = target.split(':');
		const sentAtMs = performance.now();
		client.on('error', () => undefined);
		const open = async () => {
			await arrival(sentAtMs);
			if (client.destroyed) {
				return;
			}

			const toTarget = connect({host: targetHost, port: Number(targetPort), allowHalfOpen: true});
			forward(client, toTarget);
			forward(toTarget, client);
		};

		open().catch(() => {
			client.destroy();
		});
	});
	server.listen(port, host);
	await once(server, 'listening');
	return {
		cut() {
			isCut = true;
			healed = new Promise(resolve => {
				resolveHealed = resolve;
			});
		},
		heal() {
			isCut = false;
			healedAtMs = performance.now();
			resolveHealed();
		},
		close() {
			server.close();
		},
	};
}
