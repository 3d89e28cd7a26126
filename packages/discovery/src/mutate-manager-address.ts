import {UPSTREAM_STATE} from './upstream-state.js';
import {mutateEntry} from './mutate-entry.js';
import type {Directory} from './directory.js';

/** Records the address of the process that manages the engine at `address`. */
export const mutateManagerAddress = (directory: Directory, address: string, keeperAddress: string): void => {
	for (const {upstream, announcedAt} of directory.entries.values()) {
		if (upstream.address === address && upstream.state !== UPSTREAM_STATE.Gone) {
			mutateEntry(directory, {...upstream, keeperAddress}, announcedAt);
		}
	}
};
