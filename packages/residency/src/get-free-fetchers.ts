import {getStoreFetchers} from './get-store-fetchers.js';
import type {EngineCopyCount} from './engine-copy-count.js';

/**
 * The ids of the engines that may fetch models from the weight store while other fetches are in progress: those that are fetching, which can fetch
 * the next model afterwards, and as many others as the store sustains besides. Without counting the fetches in progress, those that no request
 * waits for, and those of engines that were chosen earlier, would run in addition to the permitted ones.
 * @param maxFetches - The number of concurrent fetches that the store is estimated to serve at full speed.
 * @param fetching - The ids of the engines of all services that are fetching.
 */
export const getFreeFetchers = (engines: readonly EngineCopyCount[], maxFetches: number, fetching: ReadonlySet<string>): ReadonlySet<string> => {
	const preferred = getStoreFetchers(engines, maxFetches);
	const permitted = engines.map(engine => engine.upstreamId).filter(upstreamId => fetching.has(upstreamId));
	const others = [...preferred].filter(upstreamId => !fetching.has(upstreamId));
	return new Set([...permitted, ...others.slice(0, Math.max(0, preferred.size - fetching.size))]);
};
