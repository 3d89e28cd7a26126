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
 * The request of a target that is served next: of the most urgent rank, of the team that has received least for its weight,
 * then of the weightiest class, then the one whose time ends first. A team at its limit waits.
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
