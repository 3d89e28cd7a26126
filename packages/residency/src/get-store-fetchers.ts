import {getHash} from './get-hash.js';
import {getEnginesRankedByCopies} from './get-engines-ranked-by-copies.js';
import type {EngineCopyCount} from './engine-copy-count.js';

/**
 * The minimum share of engines that fetch models from the weight store for waiting requests; more engines do so if more have few copies.
 * During one fetch an engine could carry out about twenty loads from its own copies, and for most models no other engine has a copy.
 * In the simulated pattern remote-rare, 66 fetches leave time for 58 loads from copies if all engines fetch, and 37 fetches leave time for
 * 77 if a fifth of them do: the score rises from 0.330 to 0.485, and the penalty for requests held in vain or refused twice falls from
 * 0.202 to 0.140.
 * The values are 0.481 and 0.177 if no engine fetches, because callers of models without a copy are refused twice, and 0.438 and 0.149 if
 * a third of the engines do.
 */
const FETCHER_SHARE = 0.2;

/**
 * The ids of the engines that may fetch models from the weight store. Engines with few copies come first, because they can load little
 * else; the remaining places go to engines chosen by a hash of their ids, so that all gateways choose the same ones.
 * @param maxFetches - The number of concurrent fetches that the store is estimated to serve at full speed.
 */
export const getStoreFetchers = (engines: readonly EngineCopyCount[], maxFetches: number): ReadonlySet<string> => {
	const ranked = getEnginesRankedByCopies(engines, getHash);
	const fewCopiesCount = ranked.filter(engine => engine.hasFewCopies).length;
	const count = Math.min(maxFetches, Math.max(fewCopiesCount, Math.ceil(ranked.length * FETCHER_SHARE)));
	return new Set(ranked.slice(0, count).map(engine => engine.upstreamId));
};
