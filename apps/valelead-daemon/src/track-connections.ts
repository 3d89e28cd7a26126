import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {CallerConnections} from './caller-connections.js';
import {CallerErrors} from './caller-errors.js';

/** Makes an HTTP server leave it to a `CallerConnections` how its connections are closed, in place of Node.js, which destroys their sockets. */
export const trackConnections = (server: Server, connections: CallerConnections): void => {
	const errors = new CallerErrors(connections, () => server.keepAliveTimeout);
	server.on('connection', socket => {
		connections.add(socket);
	});
	server.on('clientError', (error, socket) => {
		errors.handle(error, socket as Socket);
	});
	// The idle time of a connection has passed.
	server.on('timeout', (socket: Socket) => {
		connections.closeSilent(socket);
	});
};
