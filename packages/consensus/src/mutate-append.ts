import {getLastIndex} from './get-last-index.js';
import {LOG_ENTRY_KIND} from './log-entry-kind.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusState} from './consensus-state.js';
import type {LogEntry} from './log-entry.js';
import type {Voter} from './voter.js';

/** Appends an entry of the leader's term to its log. A configuration takes effect as soon as it is appended. */
export const mutateAppend = (state: ConsensusState, kind: LogEntry['kind'], data: string): ConsensusEffect[] => {
	const entry: LogEntry = {
		index: getLastIndex(state) + 1,
		term: state.term,
		kind,
		data,
	};
	state.log.push(entry);
	if (kind === LOG_ENTRY_KIND.Configuration) {
		state.voters = JSON.parse(data) as Voter[];
		state.votersIndex = entry.index;
	}

	return [{kind: 'persistEntries', entries: [entry]}];
};
