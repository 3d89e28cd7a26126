import {UPSTREAM_STATE} from './upstream-state.js';
import {mutateEntry} from './mutate-entry.js';
import type {Directory} from './directory.js';

/** Notes where the process is reached that gives the engine at an address its orders. */
export const mutateKeeper = (directory: Directory, address: string, keeperAddress: string): void => {
	for (const {upstream, announcedAt} of directory.entries.values()) {
		if (upstream.address === address && upstream.state !== UPSTREAM_STATE.Gone) {
			mutateEntry(directory, {...upstream, keeperAddress}, announcedAt);
		}
	}
};
