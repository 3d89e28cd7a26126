import {getLastIndex} from './get-last-index.js';
import {getTermAt} from './get-term-at.js';
import {mutateApplied} from './mutate-applied.js';
import {mutateLeaderSeen} from './mutate-leader-seen.js';
import {mutateLog} from './mutate-log.js';
import {newAppendReply} from './new-append-reply.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusMessage} from './consensus-message.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

type AppendRequest = Extract<ConsensusMessage, {kind: 'appendRequest'}>;

/** Returns the index from which the leader should retry: the one before all entries of the conflicting term, as in Raft's fast log backtracking. */
const getConflictHint = (state: ConsensusState, request: AppendRequest): number => {
	const last = Math.min(getLastIndex(state), request.previousIndex);
	const term = getTermAt(state, last);
	let index = last;
	while (index > state.commitIndex && getTermAt(state, index) === term) {
		index -= 1;
	}

	return getLastIndex(state) < request.previousIndex ? last : index;
};

/** Handles an append request: appends the leader's entries, or rejects them if the entry before them does not match. */
export const mutateAppendRequest = (state: ConsensusState, settings: ConsensusSettings, now: number, from: string, request: AppendRequest): ConsensusEffect[] => {
	if (request.term < state.term) {
		return [newAppendReply(state, from, false, getLastIndex(state), request.sentAt)];
	}

	const effects = mutateLeaderSeen(state, settings, now, from, request.term);
	const isCovered = request.previousIndex < state.snapshot.index;
	if (!isCovered && getTermAt(state, request.previousIndex) !== request.previousTerm) {
		return [...effects, newAppendReply(state, from, false, getConflictHint(state, request), request.sentAt)];
	}

	effects.push(...mutateLog(state, request.entries));
	const matchIndex = Math.max(request.previousIndex + request.entries.length, state.snapshot.index);
	state.commitIndex = Math.max(state.commitIndex, Math.min(request.commitIndex, matchIndex));
	return [...effects, newAppendReply(state, from, true, matchIndex, request.sentAt), ...mutateApplied(state)];
};
