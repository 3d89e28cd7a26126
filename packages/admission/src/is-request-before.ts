import {getTeamUsage} from './get-team-usage.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

type Ranked = Pick<RequestRecord, 'request'>;

type SortKey = {
	readonly rank: number;
	readonly virtualTime: number;
	readonly classWeight: number;
	readonly deadlineAt: number;
};

const getSortKey = (state: AdmissionState, record: Ranked): SortKey => ({
	rank: record.request.rank ?? 0,
	virtualTime: getTeamUsage(state, record.request.team).virtualTime,
	classWeight: record.request.classWeight,
	deadlineAt: record.request.deadlineAt,
});

const isKeyBefore = (left: SortKey, right: SortKey): boolean => {
	if (left.rank !== right.rank) {
		return left.rank < right.rank;
	}

	if (left.virtualTime !== right.virtualTime) {
		return left.virtualTime < right.virtualTime;
	}

	if (left.classWeight !== right.classWeight) {
		return left.classWeight > right.classWeight;
	}

	return left.deadlineAt < right.deadlineAt;
};

/**
 * True if a waiting request goes before another one, without regard to latency objectives: by its rank, then as its team has received less service for its
 * weight, then by the weight of its class, then by its deadline.
 */
export const isRequestBefore = (state: AdmissionState, left: Ranked, right: Ranked): boolean => isKeyBefore(getSortKey(state, left), getSortKey(state, right));
