import {getTermAt} from './get-term-at.js';
import {getLastIndex} from './get-last-index.js';
import {mutateAppend} from './mutate-append.js';
import {newAppendRequests} from './new-append-requests.js';
import {newRejection} from './new-rejection.js';
import {newPeerProgress} from './new-peer-progress.js';
import {LOG_ENTRY_KIND} from './log-entry-kind.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusState} from './consensus-state.js';
import type {Voter} from './voter.js';

const getVotingIds = (voters: readonly Voter[]): string[] => voters.filter(voter => !voter.isLearner).map(voter => voter.id);

/** True if two configurations differ by at most one vote. Every majority of the one then overlaps with every majority of the other. */
const isSingleVoteChange = (from: readonly Voter[], to: readonly Voter[]): boolean => {
	const before = new Set(getVotingIds(from));
	const after = new Set(getVotingIds(to));
	const added = [...after].filter(id => !before.has(id)).length;
	const removed = [...before].filter(id => !after.has(id)).length;
	return added + removed <= 1 && after.size > 0;
};

/**
 * Appends a change of the voters, or rejects it. A change may add or remove at most one vote, and is allowed only after the previous change and
 * an entry of the leader's own term have been committed.
 */
export const mutateConfiguration = (state: ConsensusState, now: number, proposalId: string, voters: readonly Voter[]): ConsensusEffect[] => {
	const isPreviousCommitted = state.votersIndex <= state.commitIndex && getTermAt(state, state.commitIndex) === state.term;
	if (state.role !== 'leader' || state.transferTo !== undefined || !isPreviousCommitted || !isSingleVoteChange(state.voters, voters)) {
		return newRejection(proposalId);
	}

	const effects = mutateAppend(state, LOG_ENTRY_KIND.Configuration, JSON.stringify(voters));
	state.proposals.set(getLastIndex(state), proposalId);
	for (const voter of voters) {
		if (voter.id !== state.selfId && !state.peers.has(voter.id)) {
			state.peers.set(voter.id, newPeerProgress(getLastIndex(state), now));
		}
	}

	const members = new Set(voters.map(voter => voter.id));
	for (const id of state.peers.keys()) {
		if (!members.has(id)) {
			state.peers.delete(id);
		}
	}

	return [...effects, ...newAppendRequests(state, now)];
};
