import {type Socket} from 'node:net';

/**
Resets a connection. While the end of a connection is being sent, Node.js fails to reset it (EINVAL) and never closes its descriptor, so that the
process cannot end; such a connection is closed without a reset.

@example
resetConnection(socket);
*/
export function resetConnection(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
