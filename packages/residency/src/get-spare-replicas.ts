import {getHash} from './get-hash.js';
import {getEnginesRankedByCopies} from './get-engines-ranked-by-copies.js';
import {getWishedReplicas} from './get-wished-replicas.js';
import type {EngineCopyCount} from './engine-copy-count.js';

/**
 * The replicas of a model that its requests do not call for. Requests go to them only when the others fail or are
 * full, so that engines can give their place to other models. Engines with few copies serve first, as the others can
 * load more of the models that are asked for now and then. The order is the same in every gateway.
 */
export const getSpareReplicas = (model: string, replicas: readonly EngineCopyCount[], inProgress: number, slots: number): ReadonlySet<string> => {
	const ranked = getEnginesRankedByCopies(replicas, upstreamId => -getHash(`${model} ${upstreamId}`));
	return new Set(ranked.slice(getWishedReplicas(inProgress, slots)).map(replica => replica.upstreamId));
};
