import {createHash} from 'node:crypto';

/** Hashes that are remembered; beyond it all are forgotten. Models times engines of the largest deployments stay below. */
const MAX_KNOWN = 50_000;

const known = new Map<string, number>();

/** A number that is the same in every process for the same text. The same few texts come again and again, so it is remembered. */
export const getHash = (text: string): number => {
	const remembered = known.get(text);
	if (remembered !== undefined) {
		return remembered;
	}

	const hash = createHash('md5').update(text).digest().readUInt32BE(0);
	if (known.size >= MAX_KNOWN) {
		known.clear();
	}

	known.set(text, hash);
	return hash;
};
