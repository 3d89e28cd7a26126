import {assertNever, OUTCOME} from '@valelead/common';
import {getCurrentRequest} from './get-current-request.js';
import {getLane} from './get-lane.js';
import {mutateLaneAnswered} from './mutate-lane-answered.js';
import {mutateArrival} from './mutate-arrival.js';
import {mutateUnresponsiveLanes} from './mutate-unresponsive-lanes.js';
import {mutateMissedRequests} from './mutate-missed-requests.js';
import {mutateExpiredRequests} from './mutate-expired-requests.js';
import {mutateDispatches} from './mutate-dispatches.js';
import {mutateRequestEnd} from './mutate-request-end.js';
import {mutateRequestRefusal} from './mutate-request-refusal.js';
import {mutateAttemptFailure} from './mutate-attempt-failure.js';
import {mutateResponseTimes} from './mutate-response-times.js';
import {mutateUnservableRequests} from './mutate-unservable-requests.js';
import {mutateRequestState} from './mutate-request-state.js';
import {mutateStrandedRequests} from './mutate-stranded-requests.js';
import {mutateStopRefusals} from './mutate-stop-refusals.js';
import {newCreditRequests} from './new-credit-requests.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionEvent} from './admission-event.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';

const mutateStarted = (state: AdmissionState, requestId: string, attemptId: string, now: number): void => {
	const record = getCurrentRequest(state, requestId, attemptId);
	if (record?.state === 'sent') {
		mutateLaneAnswered(getLane(state, record.vm), now);
		mutateResponseTimes(state, record, {isStart: true, isEnd: false}, now);
		mutateRequestState(record, 'start');
	}
};

const mutateFinished = (state: AdmissionState, requestId: string, attemptId: string, now: number): void => {
	const record = getCurrentRequest(state, requestId, attemptId);
	if (!record) {
		return;
	}

	const lane = getLane(state, record.vm);
	lane.failures = 0;
	lane.ejections = 0;
	mutateLaneAnswered(lane, now);
	mutateResponseTimes(state, record, {isStart: record.state === 'sent', isEnd: true}, now);
	if (record.state === 'sent') {
		mutateRequestState(record, 'start');
	}

	mutateRequestEnd(state, record, 'finish');
};

const mutateAbandoned = (state: AdmissionState, requestId: string): AdmissionEffect[] => {
	const record = state.requests.get(requestId);
	if (!record) {
		return [];
	}

	const isSent = record.state !== 'waiting';
	mutateRequestEnd(state, record, 'abandon');
	return isSent
		? [{
			kind: 'cancel', requestId, attemptId: record.attemptId, vm: record.vm,
		}]
		: [];
};

const mutateLaneClosed = (state: AdmissionState, vm: string): void => {
	const lane = getLane(state, vm);
	lane.credits = [];
	lane.wanted = 0;
};

const mutateEvent = (state: AdmissionState, settings: AdmissionSettings, event: AdmissionEvent, now: number): AdmissionEffect[] => {
	switch (event.kind) {
		case 'arrive': {
			return mutateArrival(state, settings, event.request, event.limits, now);
		}

		case 'abandon': {
			return mutateAbandoned(state, event.requestId);
		}

		case 'giveUp': {
			const record = state.requests.get(event.requestId);
			return record?.state === 'waiting' ? mutateRequestRefusal(state, record, event.code, OUTCOME.NotRun, event.retryAfterMs) : [];
		}

		case 'stop': {
			state.endsAt = event.endsAt;
			return [];
		}

		case 'refuseAll': {
			const waiting = [...state.requests.values()].filter(record => record.state === 'waiting');
			return waiting.flatMap(record => mutateRequestRefusal(state, record, event.code, OUTCOME.NotRun));
		}

		case 'credits': {
			const credits = event.creditIds.map(id => ({id, expiresAt: now + event.validForMs}));
			getLane(state, event.vm).credits.push(...credits);
			return [];
		}

		case 'laneClosed': {
			mutateLaneClosed(state, event.vm);
			return [];
		}

		case 'endpoints': {
			state.endpoints = event.endpoints;
			return [];
		}

		case 'started': {
			mutateStarted(state, event.requestId, event.attemptId, now);
			return [];
		}

		case 'finished': {
			mutateFinished(state, event.requestId, event.attemptId, now);
			return [];
		}

		case 'failed': {
			const record = getCurrentRequest(state, event.requestId, event.attemptId);
			return record ? mutateAttemptFailure(state, settings, record, event, now) : [];
		}

		case 'tick': {
			mutateUnresponsiveLanes(state, settings, now);
			mutateMissedRequests(state, settings, now);
			return [...mutateStrandedRequests(state), ...mutateUnservableRequests(state, settings, now)];
		}

		default: {
			return assertNever(event);
		}
	}
};

/**
 * Applies an event to the state of an entry's admission and returns the actions that the entry must carry out.
 * @param now - The time of the event, in monotonic milliseconds.
 */
export const mutateAdmission = (state: AdmissionState, settings: AdmissionSettings, event: AdmissionEvent, now: number): AdmissionEffect[] => {
	const effects = mutateEvent(state, settings, event, now);
	effects.push(...mutateExpiredRequests(state, settings, now), ...mutateStopRefusals(state), ...mutateDispatches(state, settings, now), ...newCreditRequests(state, now));
	return effects;
};
