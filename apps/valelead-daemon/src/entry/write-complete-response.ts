import type {ServerResponse} from 'node:http';
import type {CompleteResponse} from './complete-response.js';

/** Writes a complete response with a content length, so that the caller can detect truncation. */
export const writeCompleteResponse = (response: ServerResponse, completeResponse: CompleteResponse, requestId: string): void => {
	if (response.destroyed || response.headersSent) {
		return;
	}

	response.writeHead(completeResponse.status, {
		...(completeResponse.contentType !== '' && {'content-type': completeResponse.contentType}),
		'content-length': completeResponse.body.length,
		'x-request-id': requestId,
	});
	response.end(completeResponse.body);
};
