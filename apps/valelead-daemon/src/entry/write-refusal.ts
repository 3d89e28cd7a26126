import type {ServerResponse} from 'node:http';
import {RESULT_DETAILS} from '@valelead/common';
import {newRefusalBody} from './new-refusal-body.js';
import type {Refusal} from './refusal.js';

const MS_PER_SECOND = 1000;

/** Writes a refusal as the complete response, unless a response has already begun. */
export const writeRefusal = (response: ServerResponse, refusal: Refusal, requestId: string): void => {
	if (response.destroyed || response.headersSent) {
		return;
	}

	response.writeHead(RESULT_DETAILS[refusal.code].status, {
		'content-type': 'application/json',
		'x-request-id': requestId,
		...(refusal.retryAfterMs > 0 && {'retry-after': String(Math.ceil(refusal.retryAfterMs / MS_PER_SECOND))}),
	});
	response.end(newRefusalBody(refusal, requestId));
};
