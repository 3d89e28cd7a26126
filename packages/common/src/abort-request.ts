import type {ClientRequest} from 'node:http';

/**
 * Ends a request that is no longer wanted by resetting its connection. An orderly close would let the system deliver what the other side has not
 * received yet, once its machine goes on or the path to it is back. A request that is over is left alone.
 */
export const abortRequest = (request: ClientRequest): void => {
	// Its connection is free, and may already serve another request.
	if (request.destroyed) {
		return;
	}

	const {socket} = request;
	// A connection that is still coming up has delivered nothing, and `resetAndDestroy` would wait for it.
	if (socket && !socket.connecting) {
		socket.resetAndDestroy();
	}

	request.destroy();
};
