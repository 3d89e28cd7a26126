import {getTextHash} from './get-text-hash.js';
import {getHash} from './get-hash.js';

/** An engine may have this many times the mean of requests in progress, and one more, before the next engine by hash is preferred. */
const MAX_LOAD_RATIO = 1.25;

/**
 * A prime below 2^26: products of two smaller numbers are exact, and the product with a key's hash puts the engines into another order for each key. A
 * hash of each pair would take longer than the whole choice may.
 */
const PRIME = 67_108_859;

const getWeight = (keyHash: number, engineId: string): number => (keyHash * (1 + (getHash(engineId) % (PRIME - 1)))) % PRIME;

/**
 * Returns the engine that requests with the same key prefer: the first by rendezvous hashing whose load leaves room ("consistent hashing with bounded
 * loads"). All gateways choose the same one without messages, as far as they know the same loads. Returns undefined if there is no engine.
 * @param loads - The requests in progress of each engine, by id. A slow engine counts them several times.
 * @param value - What the preference is worth, in requests in progress: a request does not go where it meets more than these in addition.
 */
export const getPreferredEngine = (key: string, loads: ReadonlyMap<string, number>, value: number): string | undefined => {
	let sum = 0;
	let least = Number.POSITIVE_INFINITY;
	for (const load of loads.values()) {
		sum += load;
		least = Math.min(least, load);
	}

	const maxLoad = Math.min((sum / loads.size * MAX_LOAD_RATIO) + 1, least + value);
	const keyHash = 1 + (getTextHash(key) % (PRIME - 1));
	let best: string | undefined;
	let bestWeight = -1;
	for (const [id, load] of loads) {
		const weight = getWeight(keyHash, id);
		if (load <= maxLoad && weight > bestWeight) {
			best = id;
			bestWeight = weight;
		}
	}

	return best;
};
