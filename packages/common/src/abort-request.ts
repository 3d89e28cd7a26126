import type {ClientRequest} from 'node:http';
import {resetConnection} from './reset-connection.js';

/**
 * Aborts a request in progress by resetting its connection. After an orderly close, the operating system would still deliver unsent data once the
 * other machine resumes or the network path to it recovers. A request that has ended is not touched.
 */
export const abortRequest = (request: ClientRequest): void => {
	// The connection of an ended request is free and may already serve another request.
	if (request.destroyed) {
		return;
	}

	const {socket} = request;
	// A connection that is still being established has delivered nothing, and a reset would wait until it is established.
	if (socket && !socket.connecting) {
		resetConnection(socket);
	}

	request.destroy();
};
