import {once} from 'node:events';
import {type Server, createServer} from 'node:net';
import {RESULT_CODE, ValeleadError} from '@valelead/common';

/** Holds a port of the VM. The kernel frees it when the process ends, however it ends. */
export const holdGuardPort = async (port: number): Promise<Server> => {
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
