import {getLastIndex} from './get-last-index.js';
import {mutateAppend} from './mutate-append.js';
import {newAppendRequests} from './new-append-requests.js';
import {newPeerProgress} from './new-peer-progress.js';
import {LOG_ENTRY_KIND} from './log-entry-kind.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

/** Makes the voter the leader. It appends an empty entry of the new term, whose commit also commits the entries of earlier terms. */
export const mutateLeader = (state: ConsensusState, settings: ConsensusSettings, now: number): ConsensusEffect[] => {
	state.leaderId = state.selfId;
	state.leaderSince = now;
	state.heartbeatDueAt = now + settings.heartbeatMs;
	state.transferTo = undefined;
	state.peers = new Map();
	for (const voter of state.voters) {
		if (voter.id !== state.selfId) {
			state.peers.set(voter.id, newPeerProgress(getLastIndex(state), now));
		}
	}

	const effects = mutateAppend(state, LOG_ENTRY_KIND.Empty, '');
	return [...effects, ...newAppendRequests(state, now)];
};
