import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusState} from './consensus-state.js';

/** Applies all entries that are committed but not yet applied. */
export const mutateApplied = (state: ConsensusState): ConsensusEffect[] => {
	const effects: ConsensusEffect[] = [];
	while (state.appliedIndex < state.commitIndex) {
		const entry = state.log[state.appliedIndex - state.snapshot.index];
		if (!entry) {
			break;
		}

		state.appliedIndex = entry.index;
		effects.push({kind: 'apply', entry});
		const proposalId = state.proposals.get(entry.index);
		if (proposalId !== undefined) {
			state.proposals.delete(entry.index);
			effects.push({kind: 'proposalCommitted', proposalId, index: entry.index});
		}
	}

	return effects;
};
