import {assertNever} from '@valelead/common';
import {getLastIndex} from './get-last-index.js';
import {getCurrentVoters} from './get-current-voters.js';
import {getTermAt} from './get-term-at.js';
import {isVoting} from './is-voting.js';
import {mutateCandidate} from './mutate-candidate.js';
import {mutateCommit} from './mutate-commit.js';
import {mutateConfiguration} from './mutate-configuration.js';
import {mutateProposal} from './mutate-proposal.js';
import {mutateAppendReply} from './mutate-append-reply.js';
import {mutateAppendRequest} from './mutate-append-request.js';
import {mutateSnapshotRequest} from './mutate-snapshot-request.js';
import {mutateRole} from './mutate-role.js';
import {mutateTick} from './mutate-tick.js';
import {mutateVoteReply} from './mutate-vote-reply.js';
import {mutateVoteRequest} from './mutate-vote-request.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusEvent} from './consensus-event.js';
import type {ConsensusMessage} from './consensus-message.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

const mutateSynced = (state: ConsensusState, index: number, term: number): ConsensusEffect[] => {
	if (getTermAt(state, index) !== term) {
		return [];
	}

	state.syncedIndex = Math.max(state.syncedIndex, index);
	return state.role === 'leader' ? mutateCommit(state) : [];
};

const mutateTransferStart = (state: ConsensusState, settings: ConsensusSettings, now: number, to: string): ConsensusEffect[] => {
	if (state.role !== 'leader' || !isVoting(state, to) || to === state.selfId) {
		return [];
	}

	state.transferTo = to;
	state.transferEndsAt = now + settings.electionTimeoutMs;
	if (state.peers.get(to)?.matchIndex === getLastIndex(state)) {
		return [{kind: 'send', to, message: {kind: 'timeoutNow', term: state.term}}];
	}

	return [];
};

const mutateTimeoutNow = (state: ConsensusState, settings: ConsensusSettings, now: number, term: number): ConsensusEffect[] => {
	if (term !== state.term || !isVoting(state, state.selfId) || state.role === 'leader' || state.role === 'candidate') {
		return [];
	}

	mutateRole(state, 'timeoutNow');
	return mutateCandidate(state, settings, now, true);
};

/**
 * Invalidates the lease after a suspension, because it may have expired and another voter may lead. The lease is valid again once a majority has
 * replied to messages sent after this time. The clock was stopped during the suspension, so a message stamped with exactly this time may have been
 * sent before it; therefore the next heartbeat is sent with the next tick.
 */
const mutateResumed = (state: ConsensusState, now: number): ConsensusEffect[] => {
	state.acksValidAfter = now;
	state.heartbeatDueAt = now;
	return [];
};

const mutateCompaction = (state: ConsensusState, index: number, data: string): ConsensusEffect[] => {
	const term = getTermAt(state, index);
	if (index <= state.snapshot.index || index > state.appliedIndex || term === undefined) {
		return [];
	}

	const offset = index - state.snapshot.index;
	const {voters} = getCurrentVoters(state.snapshot, state.log.slice(0, offset));
	state.log = state.log.slice(offset);
	state.snapshot = {
		index, term, voters, data,
	};
	return [{kind: 'persistSnapshot', snapshot: state.snapshot, entries: [...state.log]}];
};

const mutateMessage = (state: ConsensusState, settings: ConsensusSettings, now: number, from: string, message: ConsensusMessage): ConsensusEffect[] => {
	switch (message.kind) {
		case 'voteRequest': {
			return mutateVoteRequest(state, settings, now, from, message);
		}

		case 'voteReply': {
			return mutateVoteReply(state, settings, now, from, message);
		}

		case 'appendRequest': {
			return mutateAppendRequest(state, settings, now, from, message);
		}

		case 'appendReply': {
			return mutateAppendReply(state, now, from, message);
		}

		case 'snapshotRequest': {
			return mutateSnapshotRequest(state, settings, now, from, message);
		}

		case 'timeoutNow': {
			return mutateTimeoutNow(state, settings, now, message.term);
		}

		default: {
			return assertNever(message);
		}
	}
};

/**
 * Applies one event to the state of a voter and returns the effects, in the order in which they must be executed.
 * The algorithm is Raft (Ongaro, 2014) with pre-vote, check-quorum, leader lease and
 * membership changes of one vote at a time.
 */
export const mutateConsensus = (state: ConsensusState, settings: ConsensusSettings, event: ConsensusEvent, now: number): ConsensusEffect[] => {
	switch (event.kind) {
		case 'tick': {
			return mutateTick(state, settings, now, event.jitter);
		}

		case 'message': {
			return mutateMessage(state, settings, now, event.from, event.message);
		}

		case 'resumed': {
			return mutateResumed(state, now);
		}

		case 'propose': {
			return mutateProposal(state, now, event.proposalId, event.data);
		}

		case 'configure': {
			return mutateConfiguration(state, now, event.proposalId, event.voters);
		}

		case 'synced': {
			return mutateSynced(state, event.index, event.term);
		}

		case 'transfer': {
			return mutateTransferStart(state, settings, now, event.to);
		}

		case 'compact': {
			return mutateCompaction(state, event.index, event.data);
		}

		default: {
			return assertNever(event);
		}
	}
};
