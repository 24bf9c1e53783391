import type {Server, Socket} from 'node:net';

/** How long a connection stays open after a refusal, unread, so that a client that still sends can read the answer before the reset. */
const lingerMs = 200;

/** Connections of one server that stay open after a refusal; the kernel may hold several hundred KB for each, which nobody reads. */
const maxLingering = 16;

/** The connections of each server that stay open after a refusal, from the oldest to the newest. */
const lingeringByServer = new WeakMap<Server, Set<Socket>>();

function lingeringOf(socket: Socket): Set<Socket> {
	// Node.js names the HTTP server on each of its sockets.
	const {server} = socket as Socket & {server?: Server};
	const known = server && lingeringByServer.get(server);
	const lingering = known ?? new Set();
	if (server && !known) {
		lingeringByServer.set(server, lingering);
	}

	return lingering;
}

/**
Closes a connection that was refused a moment later, so that the client can read its answer first. Under a crowd the oldest of these
connections are closed earlier.

@example
linger(response.socket);
*/
export function linger(socket: Socket): void {
	const lingering = lingeringOf(socket);
	lingering.add(socket);
	const timer = setTimeout(() => {
		socket.destroy();
	}, lingerMs);
	socket.once('close', () => {
		clearTimeout(timer);
		lingering.delete(socket);
	});
	const [oldest] = lingering;
	if (lingering.size > maxLingering) {
		oldest?.destroy();
		lingering.delete(oldest!);
	}
}
