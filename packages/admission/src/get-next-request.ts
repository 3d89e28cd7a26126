import {getFirstByLatestStart} from './get-first-by-latest-start.js';
import {isRequestBefore} from './is-request-before.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

const getFirst = (state: AdmissionState, records: readonly RequestRecord[]): RequestRecord | undefined => {
	let best: RequestRecord | undefined;
	for (const record of records) {
		if (!best || isRequestBefore(state, record, best)) {
			best = record;
		}
	}

	return best;
};

/**
 * Returns the one of some waiting requests that is dispatched next: the one with the most urgent rank, then of the team that has received the least
 * service for its weight, then of the class with the highest weight, then with the earliest deadline. If the settings say so, requests that must begin
 * soon to be in time go before all others (`getFirstByLatestStart`).
 */
export const getNextRequest = (state: AdmissionState, {isOrderedByLatestStart}: AdmissionSettings, records: readonly RequestRecord[], now: number): RequestRecord | undefined =>
	isOrderedByLatestStart ? getFirstByLatestStart(state, records, now) : getFirst(state, records);
