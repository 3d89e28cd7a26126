import type {Wait} from './wait.js';

/** Waits whose times round to the same multiple of this are merged, in milliseconds; well below the duration of a load. */
const BUCKET_MS = 200;

const getBucket = (milliseconds: number): number => Math.round(milliseconds / BUCKET_MS);

/** Merges waits with about the same times, so that demand reports stay short for a model with many waiting requests. */
export const getMergedWaits = (waits: Iterable<Wait>): Wait[] => {
	const merged = new Map<string, Wait>();
	for (const wait of waits) {
		const key = `${getBucket(wait.dueInMs)} ${getBucket(wait.leavesInMs)}`;
		const known = merged.get(key);
		merged.set(key, {
			count: wait.count + (known?.count ?? 0),
			weight: wait.weight + (known?.weight ?? 0),
			dueInMs: Math.min(wait.dueInMs, known?.dueInMs ?? wait.dueInMs),
			leavesInMs: Math.min(wait.leavesInMs, known?.leavesInMs ?? wait.leavesInMs),
		});
	}

	return [...merged.values()];
};
