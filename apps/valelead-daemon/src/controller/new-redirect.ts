import {getHost} from '../get-host.js';
import {getPort} from '../get-port.js';
import type {ControlResponse} from './control-response.js';

/**
 * Creates the response that redirects a caller of the control interface to the leader.
 * @param leader - Address at which the other processes of the installation reach the leader.
 * @param address - Address of this process's control interface, which has the same port on every VM.
 */
export const newRedirect = (leader: string, address: string, url: string): ControlResponse => ({status: 307, body: '{}', location: `http://${getHost(leader)}:${getPort(address)}${url}`});
