import type {Server} from 'node:http';
import {Server as NetServer} from 'node:net';

/**
 * Stops accepting connections and leaves open connections alone. The HTTP server's own `close` also closes connections that it considers idle, and
 * thereby truncates responses that callers are still reading.
 */
export const stopListening = (server: Server): void => {
	NetServer.prototype.close.call(server);
};
