import type {ConsensusEffect} from './consensus-effect.js';

/** Tells the proposer that nothing was appended. */
export const newRejection = (proposalId: string): ConsensusEffect[] => [{kind: 'proposalRejected', proposalId}];
