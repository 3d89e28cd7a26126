import {RESULT_CODE, RESULT_DETAILS, ValeleadError} from '@valelead/common';

/** An error in one line: its number, its name and what happened. */
export const formatError = (error: unknown): string => {
	const code = error instanceof ValeleadError ? error.code : RESULT_CODE.Internal;
	return `error ${code} ${RESULT_DETAILS[code].name}: ${(error as Error).message}`;
};
