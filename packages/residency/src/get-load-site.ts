import {getExpectedMs} from './get-expected-ms.js';
import {getHash} from './get-hash.js';
import type {LoadSite} from './load-site.js';
import type {LoadTimes} from './load-times.js';

/**
 * The engine where a model is expected to be ready first. Ties are broken by a hash of model and engine, so that gateways with the same
 * information choose the same engine.
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
