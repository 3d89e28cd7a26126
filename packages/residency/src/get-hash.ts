import {createHash} from 'node:crypto';

/** Hashes that are remembered; beyond it all are forgotten. Models times engines of the largest deployments stay below. */
const MAX_CACHED_HASHES = 50_000;

const hashCache = new Map<string, number>();

/** A number that is the same in every process for the same text. The same few texts come again and again, so it is remembered. */
export const getHash = (text: string): number => {
	const cached = hashCache.get(text);
	if (cached !== undefined) {
		return cached;
	}

	const hash = createHash('md5').update(text).digest().readUInt32BE(0);
	if (hashCache.size >= MAX_CACHED_HASHES) {
		hashCache.clear();
	}

	hashCache.set(text, hash);
	return hash;
};
