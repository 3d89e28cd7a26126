import type {DirectoryCopy} from './directory-copy.js';

/** Drops upstreams that a new leader has not confirmed in time. Returns whether anything changed. */
export const mutateUnconfirmed = (copy: DirectoryCopy, graceMs: number, now: number): boolean => {
	let isChanged = false;
	for (const [id, {unconfirmedSince}] of copy.upstreams) {
		if (unconfirmedSince !== undefined && now - unconfirmedSince > graceMs) {
			copy.upstreams.delete(id);
			isChanged = true;
		}
	}

	return isChanged;
};
