import {once} from 'node:events';
import {createServer} from 'node:net';

/** Different ports that are free at a loopback address now. */
export const getFreePorts = async (host, count) => {
	const servers = [];
	for (let index = 0; index < count; index += 1) {
		const server = createServer();
		server.listen(0, host);
		await once(server, 'listening');
		servers.push(server);
	}

	const ports = servers.map(server => server.address().port);
	for (const server of servers) {
		server.close();
		await once(server, 'close');
	}

	return ports;
};
