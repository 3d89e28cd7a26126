import {mutateRole} from './mutate-role.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusState} from './consensus-state.js';

/** Makes the voter a follower, adopts the term if it is newer, and rejects all pending proposals. */
export const mutateFollower = (state: ConsensusState, event: string, term: number): ConsensusEffect[] => {
	const effects: ConsensusEffect[] = [];
	if (term > state.term) {
		state.term = term;
		state.votedFor = undefined;
		state.leaderId = undefined;
		effects.push({kind: 'persistHardState', hardState: {term, votedFor: undefined}});
	}

	if (state.role === 'follower') {
		return effects;
	}

	mutateRole(state, event);
	state.grantedVotes.clear();
	state.peers.clear();
	state.transferTo = undefined;
	if (state.leaderId === state.selfId) {
		state.leaderId = undefined;
	}

	for (const proposalId of state.proposals.values()) {
		effects.push({kind: 'proposalRejected', proposalId});
	}

	state.proposals.clear();
	return effects;
};
