import {once} from 'node:events';
import {type Server, createServer} from 'node:net';
import {RESULT_CODE, ValeleadError} from '@valelead/common';

/** Binds a local port as a lock, so that only one agent runs on a VM. The kernel releases the port when the process ends for any reason. */
export const acquireGuardPort = async (port: number): Promise<Server> => {
	const server = createServer(socket => {
		socket.destroy();
	});
	try {
		server.listen({host: '127.0.0.1', port, exclusive: true});
		await once(server, 'listening');
	} catch (error) {
		throw new ValeleadError(`Another agent holds this VM: ${(error as Error).message}`, {code: RESULT_CODE.VmAlreadyHeld});
	}

	return server;
};
