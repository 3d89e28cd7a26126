import type {ResultCodeValue} from '@valelead/common';
import {NOT_ACCEPTING_CODES} from './not-accepting-codes.js';
import {UNSENT_CODES} from './unsent-codes.js';
import type {AdmissionSettings} from './admission-settings.js';

/** Returns the tokens that a retry costs: none if the request reached no upstream, or if it was refused and the settings do not charge refusals. */
export const getRetryCost = (settings: AdmissionSettings, code: ResultCodeValue): number => {
	const isFree = UNSENT_CODES.has(code) || (NOT_ACCEPTING_CODES.has(code) && !settings.isRefusalCharged);
	return isFree ? 0 : 1;
};
