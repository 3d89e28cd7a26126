import {getHash} from './get-hash.js';
import {hasFewCopies} from './has-few-copies.js';
import type {EngineCopies} from './engine-copies.js';

/** The share of concurrent fetches that rebalancing may use; the rest is left to fetches that requests wait for. */
const REBALANCING_SHARE = 0.25;

/** The number of engines that have a copy of a model. */
const getCopyCount = (model: string, engines: readonly EngineCopies[]): number => engines.filter(engine => engine.models.has(model)).length;

/**
 * The model that an engine with few copies, such as a newly started replacement, should fetch from the weight store: one of which the
 * fewest engines have a copy. Without such fetches the other engines would carry out all loads of rarely used models. At most a quarter
 * of `concurrentLoads` engines rebalance at once, and every engine selects the same ones. Undefined if this engine should not fetch.
 */
export const getRebalancingFetch = (upstreamId: string, models: readonly string[], engines: readonly EngineCopies[], concurrentLoads: number): string | undefined => {
	const own = engines.find(engine => engine.upstreamId === upstreamId);
	if (!own || engines.length < 2) {
		return undefined;
	}

	const mean = engines.reduce((sum, engine) => sum + engine.models.size, 0) / engines.length;
	const withFewCopies = engines.filter(engine => hasFewCopies(engine.models.size, mean)).sort((left, right) => getHash(left.upstreamId) - getHash(right.upstreamId));
	if (!withFewCopies.slice(0, Math.ceil(concurrentLoads * REBALANCING_SHARE)).includes(own)) {
		return undefined;
	}

	const missing = models
		.filter(model => !own.models.has(model))
		.map(model => ({model, count: getCopyCount(model, engines), hash: getHash(`${model} ${upstreamId}`)}))
		.sort((left, right) => (left.count - right.count) || (left.hash - right.hash));
	return missing[0]?.model;
};
