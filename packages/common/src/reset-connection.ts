import type {Socket} from 'node:net';

/**
 * Closes a connection at once, with a reset where that is possible. Once all data was written and the connection is being shut down in order, the operating
 * system's reset is refused (`EINVAL`). `resetAndDestroy` then destroys the socket without a `close` event, and whoever counts open connections by it, such as
 * an HTTP agent, counts this one for ever.
 */
export const resetConnection = (socket: Socket): void => {
	const isShuttingDown = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
	if (isShuttingDown) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
};
