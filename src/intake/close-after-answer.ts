import type {ServerResponse} from 'node:http';
import {hasBody} from './has-body.js';
import {linger} from './linger.js';

/**
Makes the connection of a request whose body was not read to its end close once the answer is sent; nothing more is read from it. To be
called before the headers are sent. Does nothing for a request that was read to its end.

@example
closeAfterAnswer(response);
response.end('{}');
*/
export function closeAfterAnswer(response: ServerResponse): void {
	const {req: request} = response;
	if (request.complete || response.headersSent || !hasBody(request)) {
		return;
	}

	const {socket} = request;
	response.setHeader('connection', 'close');
	request.pause();
	socket.pause();
	// Node.js calls this method when the last answer of a connection has been handed over, and would destroy the socket once it is written.
	socket.destroySoon = () => {
		socket.end();
		// Node.js resumes a request that was not read, to discard its body, in the turn after the answer.
		setImmediate(() => {
			socket.pause();
		});
		linger(socket);
	};
}
