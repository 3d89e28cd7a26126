import {getTeamUsage} from './get-team-usage.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

type SortKey = {
	readonly rank: number;
	readonly virtualTime: number;
	readonly classWeight: number;
	readonly deadlineAt: number;
};

const getSortKey = (state: AdmissionState, record: RequestRecord): SortKey => ({
	rank: record.request.rank ?? 0,
	virtualTime: getTeamUsage(state, record.request.team).virtualTime,
	classWeight: record.request.classWeight,
	deadlineAt: record.request.deadlineAt,
});

const isBefore = (left: SortKey, right: SortKey): boolean => {
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
 * Returns the waiting request of a target that is dispatched next: the one with the most urgent rank, then of the team that has received
 * the least service for its weight, then of the class with the highest weight, then with the earliest deadline. Requests for which
 * `isAllowed` returns false, such as those of a team at its limit, keep waiting.
 */
export const getNextRequest = (state: AdmissionState, target: string, isAllowed: (record: RequestRecord) => boolean): RequestRecord | undefined => {
	let best: RequestRecord | undefined;
	for (const record of state.queues.get(target) ?? []) {
		const isBetter = !best || isBefore(getSortKey(state, record), getSortKey(state, best));
		if (isBetter && isAllowed(record)) {
			best = record;
		}
	}

	return best;
};
