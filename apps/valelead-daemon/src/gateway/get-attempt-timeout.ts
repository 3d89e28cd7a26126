import {RESULT_CODE, type ResultCodeValue} from '@valelead/common';
import {isRepeatable} from '@valelead/routing';
import {getFirstByteTimeoutMs} from './get-first-byte-timeout-ms.js';
import type {GatewayRequest} from './gateway-request.js';
import type {SentAttempt} from './sent-attempt.js';

type AttemptTimeout = {
	readonly code: ResultCodeValue;
	readonly reason: string;
};

/** The longest time to establish a connection to an upstream, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;

/**
 * Returns the error with which an attempt times out now, or undefined while it may continue. An attempt that was sent is given up only if that helps its caller,
 * who would otherwise lose a response that the upstream may still send.
 * @param request - The request of the attempt if another upstream could serve it, or undefined.
 * @param isHelpful - Returns true if giving the attempt up with this code can help the caller of this request.
 */
export const getAttemptTimeout = (
	attempt: SentAttempt,
	request: GatewayRequest | undefined,
	isHelpful: (request: GatewayRequest, code: ResultCodeValue) => boolean,
	now: number,
): AttemptTimeout | undefined => {
	const waitedMs = now - attempt.startedAt;
	if (!attempt.isSent) {
		return waitedMs > CONNECT_TIMEOUT_MS ? {code: RESULT_CODE.UpstreamUnreachable, reason: 'the connection was not established in time'} : undefined;
	}

	const canGoElsewhere = request !== undefined && isRepeatable(request.route) && request.attempts < request.route.maxAttempts;
	const isOverdue = canGoElsewhere && !attempt.isAnswered && waitedMs > getFirstByteTimeoutMs(request.route);
	return isOverdue && isHelpful(request, RESULT_CODE.UpstreamSilent) ? {code: RESULT_CODE.UpstreamSilent, reason: `no answer for ${Math.round(waitedMs)} ms`} : undefined;
};
