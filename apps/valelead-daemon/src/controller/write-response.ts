import type {ServerResponse} from 'node:http';
import type {ControlResponse} from './control-response.js';

/** Writes a response of the control interface. */
export const writeResponse = (response: ServerResponse, {status, body, location}: ControlResponse): void => {
	response.writeHead(status, {'content-type': 'application/json', ...(location !== undefined && {location})});
	response.end(body);
};
