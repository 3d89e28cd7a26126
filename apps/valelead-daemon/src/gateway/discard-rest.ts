import type {Buffer} from 'node:buffer';
import type {ClientRequest, IncomingMessage} from 'node:http';
import {type TimerService, abortRequest, abortRequestAfter} from '@valelead/common';

/** The longest rest of a response that is read so that its connection can be used again, in bytes. Error texts are far shorter. */
const MAX_REST_BYTES = 65_536;

/** The longest time for which the rest is awaited, in milliseconds. A new connection to an upstream takes less. */
const MAX_REST_MS = 1000;

/** Reads the rest of a response that nobody needs. Closes the connection if the rest is long or does not arrive in time. */
export const discardRest = (request: ClientRequest, answer: IncomingMessage, timers: TimerService): void => {
	let bytes = 0;
	answer.on('error', () => undefined);
	if (Number(answer.headers['content-length'] ?? 0) > MAX_REST_BYTES) {
		abortRequest(request);
		return;
	}

	answer.on('data', (chunk: Buffer) => {
		bytes += chunk.length;
		if (bytes > MAX_REST_BYTES) {
			abortRequest(request);
		}
	});
	abortRequestAfter(request, timers, MAX_REST_MS);
};
