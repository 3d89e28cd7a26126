import {getLastIndex} from './get-last-index.js';
import {mutateCommit} from './mutate-commit.js';
import {mutateFollower} from './mutate-follower.js';
import {newAppendRequests} from './new-append-requests.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusMessage} from './consensus-message.js';
import type {ConsensusState} from './consensus-state.js';

type AppendReply = Extract<ConsensusMessage, {kind: 'appendReply'}>;

/** Handles a member's reply to an append or snapshot request: records its progress and commits entries that a majority has synced. */
export const mutateAppendReply = (state: ConsensusState, now: number, from: string, reply: AppendReply): ConsensusEffect[] => {
	if (reply.term > state.term) {
		return mutateFollower(state, 'higherTerm', reply.term);
	}

	const progress = state.peers.get(from);
	if (state.role !== 'leader' || reply.term !== state.term || !progress) {
		return [];
	}

	progress.ackedSentAt = Math.max(progress.ackedSentAt, reply.sentAt);
	state.contactedLeaderId = from === state.contactedLeaderId ? undefined : state.contactedLeaderId;
	if (!reply.isSuccess) {
		progress.nextIndex = Math.max(progress.matchIndex, Math.min(reply.matchIndex, getLastIndex(state))) + 1;
		return [];
	}

	progress.matchIndex = Math.max(progress.matchIndex, reply.matchIndex);
	progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
	const effects = mutateCommit(state);
	if (state.transferTo === from && state.role === 'leader' && progress.matchIndex === getLastIndex(state)) {
		effects.push({kind: 'send', to: from, message: {kind: 'timeoutNow', term: state.term}});
	}

	const isBehind = state.role === 'leader' && progress.nextIndex <= getLastIndex(state);
	return isBehind ? [...effects, ...newAppendRequests(state, now)] : effects;
};
