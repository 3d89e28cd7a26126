import {RESULT_CODE, type ResultCodeValue} from '@valelead/common';

/** Result codes of attempts that never became known to their upstream. */
export const UNSENT_CODES: ReadonlySet<ResultCodeValue> = new Set([RESULT_CODE.UpstreamUnreachable, RESULT_CODE.AttemptNotStarted]);
