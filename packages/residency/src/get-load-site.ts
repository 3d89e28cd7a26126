import {getExpectedMs} from './get-expected-ms.js';
import {getHash} from './get-hash.js';
import type {LoadSite} from './load-site.js';
import type {LoadTimes} from './load-times.js';

/**
 * The engine where a model is expected to be ready first. Ties are broken by a hash of model and engine, so that gateways with the same
 * information choose the same engine.
 */
export const getLoadSite = (model: string, times: LoadTimes, candidates: readonly LoadSite[]): LoadSite | undefined => {
	let best: LoadSite | undefined;
	let bestMs = Number.POSITIVE_INFINITY;
	let bestHash = 0;
	for (const candidate of candidates) {
		const expectedMs = Math.round(getExpectedMs(candidate, times));
		const hash = getHash(`${model} ${candidate.upstreamId}`);
		if (expectedMs < bestMs || (expectedMs === bestMs && hash > bestHash)) {
			best = candidate;
			bestMs = expectedMs;
			bestHash = hash;
		}
	}

	return best;
};
