import type {DirectoryCopy} from './directory-copy.js';

/** Removes upstreams that a new leader has not confirmed within `graceMs`. Returns true if anything changed. */
export const mutateUnconfirmedUpstreams = (copy: DirectoryCopy, graceMs: number, now: number): boolean => {
	let isChanged = false;
	for (const [id, {unconfirmedSince}] of copy.upstreams) {
		if (unconfirmedSince !== undefined && now - unconfirmedSince > graceMs) {
			copy.upstreams.delete(id);
			isChanged = true;
		}
	}

	return isChanged;
};
