import {getRequestStage} from './get-request-stage.js';
import {mutateClassService} from './mutate-class-service.js';
import {REQUEST_STAGE} from './request-stage.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';

/**
 * Counts the waiting requests that can no longer be in time for the service that their classes receive. They are counted at that time and not when they end,
 * as the order would otherwise learn of a lost request of a patient class up to ten seconds later than of one of an impatient class.
 */
export const mutateMissedRequests = (state: AdmissionState, settings: AdmissionSettings, now: number): void => {
	if (!settings.areClassesBalanced) {
		return;
	}

	for (const queue of state.queues.values()) {
		for (const record of queue) {
			if (!record.isCounted && getRequestStage(state, record, now) === REQUEST_STAGE.Late) {
				mutateClassService(state, settings, record, false, now);
			}
		}
	}
};
