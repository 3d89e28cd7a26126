import {getLastIndex} from './get-last-index.js';
import {mutateAppend} from './mutate-append.js';
import {newAppendRequests} from './new-append-requests.js';
import {newRejection} from './new-rejection.js';
import {LOG_ENTRY_KIND} from './log-entry-kind.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusState} from './consensus-state.js';

/** Appends a command, or rejects it if this voter is not the leader or is transferring leadership. */
export const mutateProposal = (state: ConsensusState, now: number, proposalId: string, data: string): ConsensusEffect[] => {
	if (state.role !== 'leader' || state.transferTo !== undefined) {
		return newRejection(proposalId);
	}

	const effects = mutateAppend(state, LOG_ENTRY_KIND.Command, data);
	state.proposals.set(getLastIndex(state), proposalId);
	return [...effects, ...newAppendRequests(state, now)];
};
