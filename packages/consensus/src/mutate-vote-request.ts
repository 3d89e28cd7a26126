import {getLastIndex} from './get-last-index.js';
import {getTermAt} from './get-term-at.js';
import {mutateFollower} from './mutate-follower.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusMessage} from './consensus-message.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

type VoteRequest = Extract<ConsensusMessage, {kind: 'voteRequest'}>;

const isUpToDate = (state: ConsensusState, request: VoteRequest): boolean => {
	const lastIndex = getLastIndex(state);
	const lastTerm = getTermAt(state, lastIndex) ?? 0;
	if (request.lastTerm !== lastTerm) {
		return request.lastTerm > lastTerm;
	}

	return request.lastIndex >= lastIndex;
};

/** True if the voter is the leader or has recently received a message from one. It then refuses its vote; the lease is safe because of this. */
const isLeaderReachable = (state: ConsensusState, settings: ConsensusSettings, now: number): boolean => state.role === 'leader' || now - state.leaderContactAt < settings.electionTimeoutMs;

/** Handles a vote request. The vote is persisted before the reply is sent. */
export const mutateVoteRequest = (state: ConsensusState, settings: ConsensusSettings, now: number, from: string, request: VoteRequest): ConsensusEffect[] => {
	const newReply = (isGranted: boolean): ConsensusEffect => ({
		kind: 'send',
		to: from,
		message: {
			kind: 'voteReply',
			term: request.isPreVote && isGranted ? request.term : state.term,
			isPreVote: request.isPreVote,
			isGranted,
		},
	});
	if (request.term < state.term || (!request.isTransfer && isLeaderReachable(state, settings, now))) {
		return [newReply(false)];
	}

	if (request.isPreVote) {
		return [newReply(request.term > state.term && isUpToDate(state, request))];
	}

	const effects = request.term > state.term ? mutateFollower(state, 'higherTerm', request.term) : [];
	const canVoteFor = state.votedFor === undefined || state.votedFor === from;
	const isGranted = canVoteFor && isUpToDate(state, request);
	if (isGranted && state.votedFor === undefined) {
		state.votedFor = from;
		state.electionDueAt = now + (settings.electionTimeoutMs * 2);
		effects.push({kind: 'persistHardState', hardState: {term: state.term, votedFor: from}});
	}

	return [...effects, newReply(isGranted)];
};
