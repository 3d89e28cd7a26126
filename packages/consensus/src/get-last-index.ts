import type {ConsensusState} from './consensus-state.js';

/** The index of the last entry, synced or not. */
export const getLastIndex = (state: ConsensusState): number => state.snapshot.index + state.log.length;
