import {getHash} from './get-hash.js';
import {getEnginesRankedByCopies} from './get-engines-ranked-by-copies.js';
import {getTargetReplicas} from './get-target-replicas.js';
import type {EngineCopyCount} from './engine-copy-count.js';

/**
 * The ids of the engines whose replicas of a model exceed the target count for its requests in progress. Surplus replicas receive requests
 * only when the other replicas fail or are full, so that their engines can evict the model for another one. Engines with few copies serve
 * the model first, because engines with many copies can load more of the rarely used models. All gateways use the same order.
 */
export const getSurplusReplicas = (model: string, replicas: readonly EngineCopyCount[], inProgress: number, slots: number): ReadonlySet<string> => {
	const ranked = getEnginesRankedByCopies(replicas, upstreamId => -getHash(`${model} ${upstreamId}`));
	return new Set(ranked.slice(getTargetReplicas(inProgress, slots)).map(replica => replica.upstreamId));
};
