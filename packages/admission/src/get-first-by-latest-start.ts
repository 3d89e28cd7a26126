import {getLatestStart} from './get-latest-start.js';
import {getRequestStage} from './get-request-stage.js';
import {isRequestBefore} from './is-request-before.js';
import {REQUEST_STAGE} from './request-stage.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';
import type {RequestStageValue} from './request-stage-value.js';

type TeamCandidate = {
	/** The first due request of the team in the order without latest starts, by which teams are compared. */
	ranked: RequestRecord;
	/** The due request of the team with the earliest latest start, which is dispatched. */
	earliest: RequestRecord;
	latestStart: number;
};

const mutateTeamCandidate = (state: AdmissionState, candidates: Map<string, TeamCandidate>, record: RequestRecord, now: number): void => {
	const latestStart = getLatestStart(state, record, now);
	const known = candidates.get(record.request.team);
	if (!known) {
		candidates.set(record.request.team, {ranked: record, earliest: record, latestStart});
		return;
	}

	if (isRequestBefore(state, record, known.ranked)) {
		known.ranked = record;
	}

	const isEarlier = latestStart < known.latestStart || (latestStart === known.latestStart && isRequestBefore(state, record, known.earliest));
	if (isEarlier) {
		known.earliest = record;
		known.latestStart = latestStart;
	}
};

/**
 * Returns the request that is dispatched first: of those that must begin soon to be in time, if there are none of those that can wait, and at last of
 * those that can no longer be in time. Requests that can wait, and late ones, are compared by `isRequestBefore`.
 *
 * Among due requests, first the team is chosen, by the rank of its most urgent one and by its share. So a team that floods the entry takes no time from
 * others. Then its request with the earliest latest start goes. If rank decided within a team, a steady excess of urgent requests would leave nothing to
 * less urgent ones. By the latest start, each kind gets the same share of its demand.
 */
export const getFirstByLatestStart = (state: AdmissionState, records: Iterable<RequestRecord>, now: number): RequestRecord | undefined => {
	const due = new Map<string, TeamCandidate>();
	let best: RequestRecord | undefined;
	let bestStage: RequestStageValue = REQUEST_STAGE.Late;
	for (const record of records) {
		const stage = getRequestStage(state, record, now);
		if (stage === REQUEST_STAGE.Due) {
			mutateTeamCandidate(state, due, record, now);
		} else if (!best || stage < bestStage || (stage === bestStage && isRequestBefore(state, record, best))) {
			best = record;
			bestStage = stage;
		}
	}

	let first: TeamCandidate | undefined;
	for (const candidate of due.values()) {
		if (!first || isRequestBefore(state, candidate.ranked, first.ranked)) {
			first = candidate;
		}
	}

	return first ? first.earliest : best;
};
