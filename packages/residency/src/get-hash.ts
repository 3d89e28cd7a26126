import {getTextHash} from './get-text-hash.js';

/** Maximum number of cached hashes; a full cache is cleared. The largest deployments have fewer pairs of model and engine. */
const MAX_CACHED_HASHES = 50_000;

const hashCache = new Map<string, number>();

/** A 32-bit hash of a text, identical in every process. Hashes are cached because the same few texts recur. */
export const getHash = (text: string): number => {
	const cached = hashCache.get(text);
	if (cached !== undefined) {
		return cached;
	}

	const hash = getTextHash(text);
	if (hashCache.size >= MAX_CACHED_HASHES) {
		hashCache.clear();
	}

	hashCache.set(text, hash);
	return hash;
};
