import type {ConsensusState} from './consensus-state.js';

/** The term of the entry at an index, or undefined where it is not held. */
export const getTermAt = (state: ConsensusState, index: number): number | undefined => {
	if (index === state.snapshot.index) {
		return state.snapshot.term;
	}

	return state.log[index - state.snapshot.index - 1]?.term;
};
