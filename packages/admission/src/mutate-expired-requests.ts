import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {getLane} from './get-lane.js';
import {mutateLaneFailure} from './mutate-lane-failure.js';
import {mutateRequestRefusal} from './mutate-request-refusal.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** Records a failure of an upstream that left a request unanswered until its deadline. */
const mutateUnansweredLane = (state: AdmissionState, settings: AdmissionSettings, record: RequestRecord, now: number): void => {
	const lane = getLane(state, record.vm);
	if (record.state === 'sent' && lane.isDirect) {
		mutateLaneFailure(lane, settings, {isUnreachable: false}, now);
	}
};

/** Refuses the requests whose deadline passed before their response began. A response that arrived in time may have to be read first. */
export const mutateExpiredRequests = (state: AdmissionState, settings: AdmissionSettings, now: number): AdmissionEffect[] => {
	if (now < state.nextDeadlineAt) {
		return [];
	}

	const effects: AdmissionEffect[] = [];
	let nextDeadlineAt = Number.POSITIVE_INFINITY;
	for (const record of state.requests.values()) {
		if (record.state === 'answering') {
			continue;
		}

		if (record.request.deadlineAt > now || (record.state === 'sent' && settings.isInputUnread)) {
			nextDeadlineAt = Math.min(nextDeadlineAt, record.request.deadlineAt);
			continue;
		}

		mutateUnansweredLane(state, settings, record, now);
		const isServed = (state.endpoints.get(record.request.target)?.length ?? 0) > 0;
		const outcome = record.state === 'waiting' ? OUTCOME.NotRun : OUTCOME.Unknown;
		const code = isServed || record.state !== 'waiting' ? RESULT_CODE.DeadlineExceeded : RESULT_CODE.NoUpstream;
		effects.push(...mutateRequestRefusal(state, record, code, outcome));
	}

	state.nextDeadlineAt = nextDeadlineAt;
	return effects;
};
