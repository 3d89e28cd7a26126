import {RESULT_CODE, type ResultCodeValue} from '@valelead/common';
import {isRepeatable} from '@valelead/routing';
import {getPatienceMs} from './get-patience-ms.js';
import type {GatewayRequest} from './gateway-request.js';
import type {SentAttempt} from './sent-attempt.js';

type AttemptTimeout = {
	readonly code: ResultCodeValue;
	readonly reason: string;
};

/** A connection that does not come up within this time is given up, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;

/**
 * Why an attempt is given up now, or undefined while it may go on.
 * @param request - The request where another upstream could take it, or undefined.
 */
export const getAttemptTimeout = (attempt: SentAttempt, request: GatewayRequest | undefined, now: number): AttemptTimeout | undefined => {
	const waitedMs = now - attempt.startedAt;
	if (!attempt.isSent) {
		return waitedMs > CONNECT_TIMEOUT_MS ? {code: RESULT_CODE.UpstreamUnreachable, reason: 'the connection did not come up'} : undefined;
	}

	const canGoElsewhere = request !== undefined && isRepeatable(request.route) && request.attempts < request.route.maxAttempts;
	const isOverdue = canGoElsewhere && !attempt.isAnswered && waitedMs > getPatienceMs(request.route);
	return isOverdue ? {code: RESULT_CODE.UpstreamSilent, reason: `no answer for ${Math.round(waitedMs)} ms`} : undefined;
};
