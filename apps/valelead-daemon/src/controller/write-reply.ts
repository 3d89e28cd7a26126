import type {ServerResponse} from 'node:http';
import type {ControlReply} from './control-reply.js';

/** Writes an answer of the control interface. */
export const writeReply = (response: ServerResponse, {status, body, location}: ControlReply): void => {
	response.writeHead(status, {'content-type': 'application/json', ...(location !== undefined && {location})});
	response.end(body);
};
