import {getHash} from './get-hash.js';
import type {LoadSite} from './load-site.js';
import type {LoadTimes} from './load-times.js';

/** What a full engine adds to a load's expected time, relative to the load itself; loads slow down while many requests run. */
const PRESSURE_SHARE = 1;

/** A model that is loading already counts as half done. */
const STARTED_SHARE = 0.5;

const getOwnMs = (site: LoadSite, times: LoadTimes): number => {
	if (site.hasMemoryCopy) {
		return times.memoryLoadMs;
	}

	return site.hasDiskCopy ? times.diskLoadMs : times.storeLoadMs;
};

const getExpectedMs = (site: LoadSite, times: LoadTimes): number => {
	if (site.isHeld) {
		return 0;
	}

	const ownMs = getOwnMs(site, times) * (1 + (site.pressure * PRESSURE_SHARE));
	return site.isLoading ? ownMs * STARTED_SHARE : ownMs + (site.queuedLoads * times.diskLoadMs);
};

/**
 * The engine where a model is expected to be ready first. Equal ones are told apart by a hash of model and engine,
 * so that gateways which know the same choose the same.
 */
export const getLoadSite = (model: string, times: LoadTimes, sites: readonly LoadSite[]): LoadSite | undefined => {
	let best: LoadSite | undefined;
	let bestMs = Number.POSITIVE_INFINITY;
	let bestHash = 0;
	for (const site of sites) {
		const expectedMs = Math.round(getExpectedMs(site, times));
		const hash = getHash(`${model} ${site.upstreamId}`);
		if (expectedMs < bestMs || (expectedMs === bestMs && hash > bestHash)) {
			best = site;
			bestMs = expectedMs;
			bestHash = hash;
		}
	}

	return best;
};
