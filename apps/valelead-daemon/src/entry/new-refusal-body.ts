import {RESULT_DETAILS} from '@valelead/common';
import type {Refusal} from './refusal.js';

/** Creates the JSON body of a refusal in the error format of the OpenAI API. */
export const newRefusalBody = (refusal: Refusal, requestId: string): string => JSON.stringify({
	error: {
		message: refusal.message,
		type: RESULT_DETAILS[refusal.code].name,
		code: refusal.code,
		outcome: refusal.outcome,
		retry_after_ms: Math.round(refusal.retryAfterMs),
		request_id: requestId,
	},
});
