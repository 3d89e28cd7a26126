import {mutateFollower} from './mutate-follower.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

/** Follows the sender of a message that only a leader sends. */
export const mutateLeaderSeen = (state: ConsensusState, settings: ConsensusSettings, now: number, from: string, term: number): ConsensusEffect[] => {
	const event = term > state.term ? 'higherTerm' : 'leaderSeen';
	const effects = mutateFollower(state, event, term);
	state.leaderId = from;
	state.leaderContactAt = now;
	state.electionDueAt = now + (settings.electionTimeoutMs * 2);
	return effects;
};
