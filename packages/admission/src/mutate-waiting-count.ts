import {getTeamUsage} from './get-team-usage.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/** Adds a number, which may be negative, to the waiting requests of a request's team and class. */
export const mutateWaitingCount = (state: AdmissionState, record: RequestRecord, count: number): void => {
	const {team, className} = record.request;
	getTeamUsage(state, team).waiting += count;
	state.classWaiting.set(className, (state.classWaiting.get(className) ?? 0) + count);
};
