import {DEPARTURE_RETENTION_MS} from './departure-retention-ms.js';
import {mutateStoredEntry} from './mutate-stored-entry.js';
import type {Directory} from './directory.js';
import type {Withdrawals} from './withdrawals.js';

/**
 * Adds the recorded withdrawals to the directory of a new leader. Other runs are left as they are, as another upstream may have a withdrawn run's address by now.
 * Returns the number of withdrawals.
 */
export const mutateRestoredWithdrawals = (directory: Directory, withdrawals: Withdrawals, now: number, wallNow: number): number => {
	const current = [...withdrawals.values()].filter(({at}) => wallNow - at <= DEPARTURE_RETENTION_MS);
	for (const {upstream} of current) {
		mutateStoredEntry(directory, upstream, now);
	}

	return current.length;
};
