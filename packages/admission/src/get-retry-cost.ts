import {RESULT_CODE, type ResultCodeValue} from '@valelead/common';
import {NOT_ACCEPTING_CODES} from './not-accepting-codes.js';
import type {AdmissionSettings} from './admission-settings.js';

/** Result codes of attempts that never became known to their upstream. Retries of them cost nothing. */
const UNSENT_CODES: ReadonlySet<ResultCodeValue> = new Set([RESULT_CODE.UpstreamUnreachable, RESULT_CODE.AttemptNotStarted]);

/** Returns the tokens that a retry costs: none if the request reached no upstream, or if it was refused and the settings do not charge refusals. */
export const getRetryCost = (settings: AdmissionSettings, code: ResultCodeValue): number => {
	const isFree = UNSENT_CODES.has(code) || (NOT_ACCEPTING_CODES.has(code) && !settings.isRefusalCharged);
	return isFree ? 0 : 1;
};
