import type {ClientRequest} from 'node:http';

/**
 * Ends a request that is no longer wanted by resetting its connection. An orderly close would let the system deliver what the other side has not
 * received yet, once its machine goes on or the path to it is back.
 */
export const abortRequest = (request: ClientRequest): void => {
	const {socket} = request;
	// A connection that is still coming up has delivered nothing, and `resetAndDestroy` would wait for it.
	if (socket && !socket.connecting) {
		socket.resetAndDestroy();
	}

	request.destroy();
};
