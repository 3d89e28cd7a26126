import {once} from 'node:events';
import {createServer} from 'node:net';
import process from 'node:process';

/** Below the range from which the kernel takes ports for outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

/**
 * Processes that search at the same time begin at different places: a prime step gives each of 22,000 ids a place of its own, and ids near one another
 * places that are hundreds apart. With a step of 1000 there were 22 places, and two workers of one run met at one now and then (EADDRINUSE).
 */
const STEP = 7919;

let next = FIRST_PORT + ((process.pid * STEP) % (LAST_PORT - FIRST_PORT));

const isFree = async (port: number): Promise<boolean> => {
	const server = createServer();
	try {
		server.listen(port, '127.0.0.1');
		await once(server, 'listening');
		server.close();
		await once(server, 'close');
		return true;
	} catch {
		return false;
	}
};

/** Ports of loopback that were free a moment ago; none is given twice by one process. */
export const getFreePorts = async (count: number): Promise<number[]> => {
	const ports: number[] = [];
	while (ports.length < count) {
		next = next >= LAST_PORT ? FIRST_PORT : next + 1;
		if (await isFree(next)) {
			ports.push(next);
		}
	}

	return ports;
};
