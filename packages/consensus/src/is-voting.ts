import type {ConsensusState} from './consensus-state.js';

/** True if a member has a vote in the current configuration. */
export const isVoting = (state: ConsensusState, id: string): boolean => state.voters.some(voter => voter.id === id && !voter.isLearner);
