import {mutateFollower} from './mutate-follower.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

/**
 * The first elections after the last message of a leader are spread over this share of the election timeout. A larger share prevents more
 * split votes between voters with a high latency, but delays the elections of all others.
 */
const FIRST_ELECTION_SPREAD = 0.25;

/** Makes the voter follow the sender of a message that only a leader sends. */
export const mutateLeaderSeen = (state: ConsensusState, settings: ConsensusSettings, now: number, from: string, term: number): ConsensusEffect[] => {
	const event = term > state.term ? 'higherTerm' : 'leaderSeen';
	const effects = mutateFollower(state, event, term);
	state.leaderId = from;
	state.leaderContactAt = now;
	state.contactedLeaderId = from;
	// Without jitter, all voters that received the same last message would vote for themselves. Jitter only adds time, because the lease relies on
	// this timeout.
	state.electionDueAt = now + (settings.electionTimeoutMs * (2 + (state.jitter * FIRST_ELECTION_SPREAD)));
	return effects;
};
