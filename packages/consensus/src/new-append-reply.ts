import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusState} from './consensus-state.js';

/** Returns an effect that replies to the leader. `sentAt` is the leader's own time, returned unchanged. */
export const newAppendReply = (state: ConsensusState, to: string, isSuccess: boolean, matchIndex: number, sentAt: number): ConsensusEffect => ({
	kind: 'send',
	to,
	message: {
		kind: 'appendReply', term: state.term, isSuccess, matchIndex, sentAt,
	},
});
