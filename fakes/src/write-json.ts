import type {ServerResponse} from 'node:http';

/** Writes a JSON response. */
export const writeJson = (response: ServerResponse, status: number, value: unknown): void => {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
};
