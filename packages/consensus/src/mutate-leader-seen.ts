import {mutateFollower} from './mutate-follower.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

/**
 * Over which part of the election timeout the first elections after a leader's last word are spread. More of it parts
 * voters that are far from each other better, and makes all others wait longer.
 */
const FIRST_ELECTION_SPREAD = 0.25;

/** Follows the sender of a message that only a leader sends. */
export const mutateLeaderSeen = (state: ConsensusState, settings: ConsensusSettings, now: number, from: string, term: number): ConsensusEffect[] => {
	const event = term > state.term ? 'higherTerm' : 'leaderSeen';
	const effects = mutateFollower(state, event, term);
	state.leaderId = from;
	state.leaderContactAt = now;
	// Those that heard the same last word would all vote for themselves; jitter only lengthens, as the lease rests on this time.
	state.electionDueAt = now + (settings.electionTimeoutMs * (2 + (state.jitter * FIRST_ELECTION_SPREAD)));
	return effects;
};
