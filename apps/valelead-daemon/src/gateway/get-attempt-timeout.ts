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
 * Returns the error with which an attempt times out now, or undefined while it may continue. An attempt that was sent is given up only for a retry: without
 * one, its caller would lose a response that the upstream may still send.
 * @param getRetried - Returns the request of the attempt if it would be sent to another upstream after a failure with the given code, or undefined.
 */
export const getAttemptTimeout = (attempt: SentAttempt, getRetried: (code: ResultCodeValue) => GatewayRequest | undefined, now: number): AttemptTimeout | undefined => {
	const waitedMs = now - attempt.startedAt;
	if (!attempt.isSent) {
		return waitedMs > CONNECT_TIMEOUT_MS ? {code: RESULT_CODE.UpstreamUnreachable, reason: 'the connection was not established in time'} : undefined;
	}

	const request = attempt.isAnswered ? undefined : getRetried(RESULT_CODE.UpstreamSilent);
	const canGoElsewhere = request !== undefined && isRepeatable(request.route) && request.attempts < request.route.maxAttempts;
	const isOverdue = canGoElsewhere && waitedMs > getFirstByteTimeoutMs(request.route);
	return isOverdue ? {code: RESULT_CODE.UpstreamSilent, reason: `no answer for ${Math.round(waitedMs)} ms`} : undefined;
};
