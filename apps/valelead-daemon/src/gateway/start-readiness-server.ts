import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {getHost} from '../get-host.js';
import {getPort} from '../get-port.js';

/** Starts the HTTP server on which the load balancer checks whether the gateway accepts new connections. */
export const startReadinessServer = async (address: string, path: string, getUnreadyReason: () => string | undefined): Promise<Server> => {
	const server = createServer((message, response) => {
		const reason = message.url === path ? getUnreadyReason() : 'no such path';
		response.writeHead(reason === undefined ? 200 : 503, {'content-type': 'text/plain'});
		response.end(`${reason ?? 'ready'}\n`);
	});
	server.listen(getPort(address), getHost(address));
	await once(server, 'listening');
	return server;
};
