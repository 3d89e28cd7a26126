import {getLastIndex} from './get-last-index.js';
import {getCurrentVoters} from './get-current-voters.js';
import {getTermAt} from './get-term-at.js';
import {mutateLeaderSeen} from './mutate-leader-seen.js';
import {newAppendReply} from './new-append-reply.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusMessage} from './consensus-message.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

type SnapshotRequest = Extract<ConsensusMessage, {kind: 'snapshotRequest'}>;

/** Handles a snapshot request: installs the leader's snapshot, which replaces log entries that the leader no longer has. */
export const mutateSnapshotRequest = (state: ConsensusState, settings: ConsensusSettings, now: number, from: string, request: SnapshotRequest): ConsensusEffect[] => {
	if (request.term < state.term) {
		return [newAppendReply(state, from, false, getLastIndex(state), request.sentAt)];
	}

	const effects = mutateLeaderSeen(state, settings, now, from, request.term);
	if (request.index <= state.commitIndex) {
		return [...effects, newAppendReply(state, from, true, state.commitIndex, request.sentAt)];
	}

	const kept = getTermAt(state, request.index) === request.indexTerm ? state.log.slice(request.index - state.snapshot.index) : [];
	state.snapshot = {
		index: request.index, term: request.indexTerm, voters: request.voters, data: request.data,
	};
	state.log = kept;
	state.commitIndex = request.index;
	state.appliedIndex = request.index;
	state.syncedIndex = Math.min(state.syncedIndex, getLastIndex(state));
	const current = getCurrentVoters(state.snapshot, state.log);
	state.voters = current.voters;
	state.votersIndex = current.index;
	return [
		...effects,
		{kind: 'persistSnapshot', snapshot: state.snapshot, entries: kept},
		{kind: 'restore', snapshot: state.snapshot},
		newAppendReply(state, from, true, request.index, request.sentAt),
	];
};
