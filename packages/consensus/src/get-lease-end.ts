import {getQuorumValue} from './get-quorum-value.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

/** The part of the election timeout that a lease may use; the rest covers clocks that run at different rates. */
const LEASE_SHARE = 0.9;

/**
 * The time up to which no other leader can have been elected. Every member of the quorum that
 * answered a message refuses its vote for an election timeout after it received that message.
 */
export const getLeaseEnd = (state: ConsensusState, settings: ConsensusSettings, now: number): number => {
	if (state.role !== 'leader' || state.transferTo !== undefined) {
		return Number.NEGATIVE_INFINITY;
	}

	const getConfirmedAt = (id: string): number => {
		const sentAt = state.peers.get(id)?.ackedSentAt ?? Number.NEGATIVE_INFINITY;
		return sentAt <= state.acksValidAfter ? Number.NEGATIVE_INFINITY : sentAt;
	};

	const ackedAt = getQuorumValue(state, id => id === state.selfId ? now : getConfirmedAt(id));
	return ackedAt + (settings.electionTimeoutMs * LEASE_SHARE);
};
