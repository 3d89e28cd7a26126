import type {ConsensusEffect} from './consensus-effect.js';

/** Returns an effect that rejects a proposal, as nothing was appended to the log. */
export const newRejection = (proposalId: string): ConsensusEffect[] => [{kind: 'proposalRejected', proposalId}];
