import {getHost} from '../get-host.js';
import {getPort} from '../get-port.js';
import type {ControlResponse} from './control-response.js';

/**
 * Sends a caller of the control interface to the leader.
 * @param leader - Where the leader is reached by the installation's own processes.
 * @param address - The own control interface; it has the same port on every VM.
 */
export const newRedirect = (leader: string, address: string, url: string): ControlResponse => ({status: 307, body: '{}', location: `http://${getHost(leader)}:${getPort(address)}${url}`});
