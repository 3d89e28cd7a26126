import {getLastIndex} from './get-last-index.js';
import {getTermAt} from './get-term-at.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusState} from './consensus-state.js';

/** Maximum number of entries in one message. */
const MAX_ENTRIES = 512;

const newRequest = (state: ConsensusState, to: string, now: number): ConsensusEffect => {
	const progress = state.peers.get(to)!;
	const previousIndex = progress.nextIndex - 1;
	const previousTerm = getTermAt(state, previousIndex);
	if (previousTerm === undefined) {
		const {index, term, voters, data} = state.snapshot;
		progress.nextIndex = index + 1;
		return {
			kind: 'send',
			to,
			message: {
				kind: 'snapshotRequest', term: state.term, index, indexTerm: term, voters, data, sentAt: now,
			},
		};
	}

	const offset = previousIndex - state.snapshot.index;
	const entries = state.log.slice(offset, offset + MAX_ENTRIES);
	progress.nextIndex += entries.length;
	return {
		kind: 'send',
		to,
		message: {
			kind: 'appendRequest',
			term: state.term,
			previousIndex,
			previousTerm,
			entries,
			commitIndex: Math.min(state.commitIndex, getLastIndex(state)),
			sentAt: now,
		},
	};
};

/** Returns one message for each other member, with the next entries to send to it, or with the snapshot if the log no longer contains them. */
export const newAppendRequests = (state: ConsensusState, now: number): ConsensusEffect[] => [...state.peers.keys()].map(to => newRequest(state, to, now));
