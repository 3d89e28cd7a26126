import type {ClientRequest, IncomingMessage} from 'node:http';
import {abortRequest} from './abort-request.js';

/** The most interim responses (1xx) to one request. Upstreams send one or two. */
const MAX_INTERIM_RESPONSES = 16;

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

	let interimResponses = 0;
	request.on('information', () => {
		interimResponses += 1;
		if (interimResponses > MAX_INTERIM_RESPONSES) {
			abort(`more than ${MAX_INTERIM_RESPONSES} interim answers`);
		}
	});
	request.on('response', resolve);
	request.on('error', reject);
	request.on('timeout', () => {
		abort('no answer in time');
	});
	signal?.addEventListener('abort', () => {
		abort('the request is no longer wanted');
	}, {once: true});
});
