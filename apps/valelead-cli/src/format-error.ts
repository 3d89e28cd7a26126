import {RESULT_CODE, RESULT_DETAILS, ValeleadError} from '@valelead/common';

/** Formats an error as one line with the number and name of its result code and its message. */
export const formatError = (error: unknown): string => {
	const code = error instanceof ValeleadError ? error.code : RESULT_CODE.Internal;
	return `error ${code} ${RESULT_DETAILS[code].name}: ${(error as Error).message}`;
};
