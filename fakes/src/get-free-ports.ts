import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';

/** Ports of loopback that were free a moment ago. */
export const getFreePorts = async (count: number): Promise<number[]> => {
	const servers = Array.from({length: count}, () => createServer().listen(0, '127.0.0.1'));
	await Promise.all(servers.map(async server => server.listening || once(server, 'listening')));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return ports;
};
