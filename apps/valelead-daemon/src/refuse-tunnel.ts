import type {Socket} from 'node:net';
import type {CallerConnections} from './caller-connections.js';
import type {CallerErrors} from './caller-errors.js';

/**
 * Refuses a CONNECT request: its connection is closed once the requests before it are answered. Node.js has detached the connection from its HTTP server, so that
 * what the server listened to is handled here until then.
 */
export const refuseTunnel = (socket: Socket, connections: CallerConnections, errors: CallerErrors): void => {
	socket.on('error', () => {
		socket.destroy();
	});
	// Responses that are longer than the buffers of the connection go on with this event.
	socket.on('drain', () => {
		connections.getUnfinished(socket)[0]?.emit('drain');
	});
	socket.once('end', () => {
		if (connections.getUnfinished(socket).length > 0) {
			socket.destroy();
		}
	});
	connections.discardInput(socket);
	errors.handle(new Error('CONNECT is not supported'), socket);
};
