import {getLeaseEnd} from './get-lease-end.js';
import {mutateElection} from './mutate-election.js';
import {mutateFollower} from './mutate-follower.js';
import {newAppendRequests} from './new-append-requests.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

const isQuorumLost = (state: ConsensusState, settings: ConsensusSettings, now: number): boolean => {
	if (now - state.leaderSince < settings.electionTimeoutMs * 2) {
		return false;
	}

	// After a suspension, the other voters have an election timeout to reply before the quorum counts as lost.
	const hasResumed = now - state.acksValidAfter < settings.electionTimeoutMs;
	return state.transferTo === undefined && !hasResumed && getLeaseEnd(state, settings, now) + settings.electionTimeoutMs < now;
};

/** Ends a leadership transfer that its target has not completed in time. */
const mutateTransferTimeout = (state: ConsensusState, now: number): void => {
	if (state.transferTo !== undefined && now >= state.transferEndsAt) {
		state.transferTo = undefined;
		state.leaderSince = now;
	}
};

/** Handles a tick: a leader sends heartbeats or steps down if it has lost its quorum; any other voter starts an election when one is due. */
export const mutateTick = (state: ConsensusState, settings: ConsensusSettings, now: number, jitter: number): ConsensusEffect[] => {
	state.jitter = jitter;
	if (state.role !== 'leader') {
		return now >= state.electionDueAt ? mutateElection(state, settings, now, jitter) : [];
	}

	mutateTransferTimeout(state, now);
	if (isQuorumLost(state, settings, now)) {
		state.electionDueAt = now + (settings.electionTimeoutMs * (1 + jitter));
		return mutateFollower(state, 'quorumLost', state.term);
	}

	if (now < state.heartbeatDueAt) {
		return [];
	}

	state.heartbeatDueAt = now + settings.heartbeatMs;
	return newAppendRequests(state, now);
};
