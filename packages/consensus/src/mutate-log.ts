import {getCurrentVoters} from './get-current-voters.js';
import {getTermAt} from './get-term-at.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusState} from './consensus-state.js';
import type {LogEntry} from './log-entry.js';

/** Replaces the end of the log from the first entry that conflicts with the leader's log. */
export const mutateLog = (state: ConsensusState, entries: readonly LogEntry[]): ConsensusEffect[] => {
	const firstNew = entries.findIndex(entry => entry.index > state.snapshot.index && getTermAt(state, entry.index) !== entry.term);
	if (firstNew === -1) {
		return [];
	}

	const added = entries.slice(firstNew);
	const offset = added[0].index - state.snapshot.index - 1;
	state.log.splice(offset, state.log.length - offset, ...added);
	state.syncedIndex = Math.min(state.syncedIndex, added[0].index - 1);
	const current = getCurrentVoters(state.snapshot, state.log);
	state.voters = current.voters;
	state.votersIndex = current.index;
	return [{kind: 'persistEntries', entries: added}];
};
