import {RESULT_DETAILS} from '@valelead/common';
import type {Refusal} from './refusal.js';

/** A refusal in the error shape of the OpenAI interface. */
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
