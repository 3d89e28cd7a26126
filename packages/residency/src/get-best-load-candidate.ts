import {getExpectedReadyMs} from './get-expected-ready-ms.js';
import {getHash} from './get-hash.js';
import type {LoadCandidate} from './load-candidate.js';
import type {LoadTimes} from './load-times.js';

/**
 * The engine where a model is expected to be ready first. Ties are broken by a hash of model and engine, so that gateways with the same
 * information choose the same engine.
 */
export const getBestLoadCandidate = (model: string, times: LoadTimes, candidates: readonly LoadCandidate[]): LoadCandidate | undefined => {
	let best: LoadCandidate | undefined;
	let bestMs = Number.POSITIVE_INFINITY;
	let bestHash = 0;
	for (const candidate of candidates) {
		const expectedMs = Math.round(getExpectedReadyMs(candidate, times));
		const hash = getHash(`${model} ${candidate.upstreamId}`);
		if (expectedMs < bestMs || (expectedMs === bestMs && hash > bestHash)) {
			best = candidate;
			bestMs = expectedMs;
			bestHash = hash;
		}
	}

	return best;
};
