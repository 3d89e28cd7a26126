import {connect} from 'node:net';
import type {Address, TimerService} from '@valelead/common';
import {getHost} from '../get-host.js';
import {getPort} from '../get-port.js';

/** The longest wait for a connection, in milliseconds. A running process accepts within this time; a VM that is gone does not answer at all. */
const CONNECT_MS = 500;

/** Returns a function that probes an address with one connection and resolves with true if the connection is refused, so no process listens there. */
export const newPortCheck = (timers: TimerService) => async (address: Address): Promise<boolean> => new Promise(resolve => {
	const socket = connect({host: getHost(address), port: getPort(address)});
	const end = (isRefused: boolean): void => {
		timeout.cancel();
		socket.destroy();
		resolve(isRefused);
	};

	const timeout = timers.after(CONNECT_MS, () => {
		end(false);
	});
	socket.on('connect', () => {
		end(false);
	});
	socket.on('error', (error: NodeJS.ErrnoException) => {
		end(error.code === 'ECONNREFUSED');
	});
});
