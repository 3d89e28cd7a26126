import type {ConsensusState} from './consensus-state.js';

/** Returns the index of the last log entry, even if that entry is not synced yet. */
export const getLastIndex = (state: ConsensusState): number => state.snapshot.index + state.log.length;
