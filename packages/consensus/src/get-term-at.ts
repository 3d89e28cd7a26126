import type {ConsensusState} from './consensus-state.js';

/** Returns the term of the entry at an index, or undefined if the log does not contain that entry. */
export const getTermAt = (state: ConsensusState, index: number): number | undefined => {
	if (index === state.snapshot.index) {
		return state.snapshot.term;
	}

	return state.log[index - state.snapshot.index - 1]?.term;
};
