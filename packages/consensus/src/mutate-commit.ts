import {getQuorumValue} from './get-quorum-value.js';
import {getTermAt} from './get-term-at.js';
import {isVoting} from './is-voting.js';
import {mutateApplied} from './mutate-applied.js';
import {mutateFollower} from './mutate-follower.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusState} from './consensus-state.js';

/**
 * Commits the entries that a majority has synced, if the last of them is of the leader's own term. A leader steps down once its removal is
 * committed.
 */
export const mutateCommit = (state: ConsensusState): ConsensusEffect[] => {
	const index = getQuorumValue(state, id => id === state.selfId ? state.syncedIndex : (state.peers.get(id)?.matchIndex ?? 0));
	if (index <= state.commitIndex || getTermAt(state, index) !== state.term) {
		return [];
	}

	state.commitIndex = index;
	const effects = mutateApplied(state);
	if (state.commitIndex >= state.votersIndex && !isVoting(state, state.selfId)) {
		effects.push(...mutateFollower(state, 'removed', state.term));
	}

	return effects;
};
