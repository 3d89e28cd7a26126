import type {ConsensusState} from './consensus-state.js';

/** Returns the largest value that a majority of the voters has reached, or negative infinity if there are no voters. */
export const getQuorumValue = (state: ConsensusState, getValue: (id: string) => number): number => {
	const values = state.voters
		.filter(voter => !voter.isLearner)
		.map(voter => getValue(voter.id))
		.sort((left, right) => right - left);
	if (values.length === 0) {
		return Number.NEGATIVE_INFINITY;
	}

	return values[Math.floor(values.length / 2)];
};
