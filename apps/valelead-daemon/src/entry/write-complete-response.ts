import type {ServerResponse} from 'node:http';
import type {CompleteResponse} from './complete-response.js';

/** Writes a complete response with a content length, so that the caller can detect truncation. */
export const writeCompleteResponse = (response: ServerResponse, answer: CompleteResponse, requestId: string): void => {
	if (response.destroyed || response.headersSent) {
		return;
	}

	response.writeHead(answer.status, {
		...(answer.contentType !== '' && {'content-type': answer.contentType}),
		'content-length': answer.body.length,
		'x-request-id': requestId,
	});
	response.end(answer.body);
};
