import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';
import type {CallerConnections} from './caller-connections.js';
import {CallerErrors} from './caller-errors.js';
import {refuseTunnel} from './refuse-tunnel.js';

const EXPECTATION_FAILED = 417;

/** Makes an HTTP server leave it to a `CallerConnections` how its connections are closed, in place of Node.js, which destroys their sockets. */
export const trackConnections = (server: Server, connections: CallerConnections): void => {
	const errors = new CallerErrors(connections, () => server.keepAliveTimeout);
	server.on('connection', socket => {
		connections.add(socket);
	});
	// Node's own response to an unknown expectation would not be registered, and those behind it would wait for their turn for ever.
	server.on('checkExpectation', (_message, response) => {
		void connections.addResponse(response);
		if (connections.has(response)) {
			response.statusCode = EXPECTATION_FAILED;
			response.end();
		}
	});
	server.on('clientError', (error, socket) => {
		errors.handle(error, socket as Socket);
	});
	// Without a listener, Node.js destroys the connection, also while a request that was read before on it is running.
	server.on('connect', (message: IncomingMessage) => {
		refuseTunnel(message.socket, connections, errors);
	});
	// The idle time of a connection has passed.
	server.on('timeout', (socket: Socket) => {
		connections.closeSilent(socket);
	});
};
