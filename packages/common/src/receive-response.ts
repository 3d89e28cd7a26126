import type {ClientRequest, IncomingMessage} from 'node:http';
import {abortRequest} from './abort-request.js';

/**
 * Resolves with the head of the answer to a request that is being sent; rejects where none comes. Once the request's own timeout has passed, or its caller has
 * given it up, the request is aborted, also if the answer has begun.
 * @param signal - Tells that nobody wants the answer any more.
 */
export const receiveResponse = async (request: ClientRequest, signal?: AbortSignal): Promise<IncomingMessage> => new Promise((resolve, reject) => {
	const abort = (reason: string): void => {
		reject(new Error(reason));
		abortRequest(request);
	};

	request.on('response', resolve);
	request.on('error', reject);
	request.on('timeout', () => {
		abort('no answer in time');
	});
	signal?.addEventListener('abort', () => {
		abort('the request is no longer wanted');
	}, {once: true});
});
