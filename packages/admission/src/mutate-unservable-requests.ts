import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {isBeyondPatience} from './is-beyond-patience.js';
import {mutateClassService} from './mutate-class-service.js';
import {mutateRequestRefusal} from './mutate-request-refusal.js';
import {newRequestWait} from './new-request-wait.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';

/**
 * Refuses the waiting requests whose callers leave before a response can reach them, so that the callers learn it at once and do not wait until their
 * deadline. A request that may have run before is kept, as it could not be refused as not run.
 */
export const mutateUnservableRequests = (state: AdmissionState, settings: AdmissionSettings, now: number): AdmissionEffect[] => {
	if (!settings.isOrderedByLatestStart) {
		return [];
	}

	const unservable = [...state.queues.values()].flatMap(queue => queue.filter(({request, runs}) => runs === 0 && isBeyondPatience(state, request, 0, now)));
	return unservable.flatMap(record => {
		const wait = newRequestWait(state, settings, record, true, now);
		mutateClassService(state, settings, record, false, now);
		const isServed = (state.endpoints.get(record.request.target)?.length ?? 0) > 0;
		const effects = mutateRequestRefusal(state, record, isServed ? RESULT_CODE.WaitTooLong : RESULT_CODE.NoUpstream, OUTCOME.NotRun);
		return effects.map(effect => effect.kind === 'refuse' && isServed ? {...effect, wait} : effect);
	});
};
