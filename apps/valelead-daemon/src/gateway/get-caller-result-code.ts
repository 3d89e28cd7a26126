import {
	OUTCOME, type OutcomeValue, RESULT_CODE, RESULT_DETAILS, type ResultCodeValue,
} from '@valelead/common';

const SERVICE_UNAVAILABLE = 503;
const TOO_MANY_REQUESTS = 429;

/**
 * Returns the result code to report to a caller. Statuses 429 and 503 promise that the request was not run: they are reported if and only if the
 * outcome is known to be "not run".
 */
export const getCallerResultCode = (code: ResultCodeValue, outcome: OutcomeValue): ResultCodeValue => {
	const {status} = RESULT_DETAILS[code];
	const isPromise = status === SERVICE_UNAVAILABLE || status === TOO_MANY_REQUESTS;
	if (outcome === OUTCOME.NotRun) {
		return isPromise ? code : RESULT_CODE.WaitTooLong;
	}

	return isPromise ? RESULT_CODE.UpstreamFailed : code;
};
