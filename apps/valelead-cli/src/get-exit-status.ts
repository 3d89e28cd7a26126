import {RESULT_CODE, ValeleadError} from '@valelead/common';

const CODES_PER_STATUS = 1000;

/** Returns the exit status for an error: the thousands digit of its result code, 1 to 6. */
export const getExitStatus = (error: unknown): number => {
	const code = error instanceof ValeleadError ? error.code : RESULT_CODE.Internal;
	return Math.max(1, Math.floor(code / CODES_PER_STATUS));
};
