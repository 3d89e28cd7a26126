import {getHash} from './get-hash.js';
import {getEnginesRankedByCopies} from './get-engines-ranked-by-copies.js';
import type {EngineCopyCount} from './engine-copy-count.js';

/**
 * The part of the engines that fetch models from the weight store for waiting requests, where no more are short of copies. A fetch keeps
 * an engine from loading its own copies, which for most models no other engine keeps, for the time of some twenty such loads. In the
 * laboratory's remote-rare, where all engines may fetch, 66 fetches leave time for 58 loads from copies; with a fifth, 37 and 77: the
 * credit is 0.485 in place of 0.330 and the price of refusing and holding 0.140 in place of 0.202. With none 0.481 and 0.177, as
 * callers of models without a copy are refused twice; with a third 0.438 and 0.149.
 */
const FETCHER_SHARE = 0.2;

/**
 * The engines that fetch models from the weight store: those that keep few copies, as they can do little else, and the same few of the
 * others in the view of all gateways.
 * @param atOnce - Fetches that the store serves at once without slowing them, as far as known.
 */
export const getFetchers = (engines: readonly EngineCopyCount[], atOnce: number): ReadonlySet<string> => {
	const ranked = getEnginesRankedByCopies(engines, getHash);
	const shortCount = ranked.filter(engine => engine.hasFewCopies).length;
	const count = Math.min(atOnce, Math.max(shortCount, Math.ceil(ranked.length * FETCHER_SHARE)));
	return new Set(ranked.slice(0, count).map(engine => engine.upstreamId));
};
