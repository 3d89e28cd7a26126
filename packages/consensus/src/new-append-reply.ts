import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusState} from './consensus-state.js';

/** Answers the leader; `sentAt` is its own time, echoed. */
export const newAppendReply = (state: ConsensusState, to: string, isSuccess: boolean, matchIndex: number, sentAt: number): ConsensusEffect => ({
	kind: 'send',
	to,
	message: {
		kind: 'appendReply', term: state.term, isSuccess, matchIndex, sentAt,
	},
});
