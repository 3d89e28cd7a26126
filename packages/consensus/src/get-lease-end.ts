import {getQuorumValue} from './get-quorum-value.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

/** Length of a lease as a share of the election timeout. The rest allows for clocks that run at different rates. */
const LEASE_SHARE = 0.9;

/**
 * Returns the monotonic time until which no other leader can have been elected. Every voter that replied to a message of the leader
 * refuses its vote to other candidates for an election timeout after it received that message.
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
