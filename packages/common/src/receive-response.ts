import type {ClientRequest, IncomingMessage} from 'node:http';
import {abortRequest} from './abort-request.js';
import {limitInterimResponses} from './limit-interim-responses.js';

/**
 * Waits for the response to a request that is being sent. Resolves once the response head has arrived, and rejects if the request fails before. The
 * request is aborted after its own timeout or when the signal fires, even if the response has already begun.
 * @param signal - Fires when the response is no longer needed.
 */
export const receiveResponse = async (request: ClientRequest, signal?: AbortSignal): Promise<IncomingMessage> => new Promise((resolve, reject) => {
	const abort = (reason: string): void => {
		reject(new Error(reason));
		abortRequest(request);
	};

	limitInterimResponses(request, abort);
	request.on('response', resolve);
	request.on('error', reject);
	request.on('timeout', () => {
		abort('no answer in time');
	});
	signal?.addEventListener('abort', () => {
		abort('the request is no longer wanted');
	}, {once: true});
});
