import {
	OUTCOME, type OutcomeValue, RESULT_CODE, RESULT_DETAILS, type ResultCodeValue,
} from '@valelead/common';

const SERVICE_UNAVAILABLE = 503;
const TOO_MANY_REQUESTS = 429;

/** The code that a caller gets: a status that promises "not run" is given only where that is known, and always then. */
export const getHonestCode = (code: ResultCodeValue, outcome: OutcomeValue): ResultCodeValue => {
	const {status} = RESULT_DETAILS[code];
	const isPromise = status === SERVICE_UNAVAILABLE || status === TOO_MANY_REQUESTS;
	if (outcome === OUTCOME.NotRun) {
		return isPromise ? code : RESULT_CODE.WaitTooLong;
	}

	return isPromise ? RESULT_CODE.UpstreamFailed : code;
};
