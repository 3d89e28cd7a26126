import {getHash} from './get-hash.js';
import type {EngineCopies} from './engine-copies.js';

const getAssignedEngine = (model: string, engines: readonly EngineCopies[]): EngineCopies | undefined => {
	const [first] = [...engines].sort((left, right) => getHash(`${model} ${right.upstreamId}`) - getHash(`${model} ${left.upstreamId}`));
	return first;
};

/**
 * The model that an idle engine should fetch from the weight store, so that no model is left of which no engine keeps
 * a copy. Every engine works out the same list from the same announcements; the first `concurrentLoads` of it go to
 * one engine each, and the next ones follow as these appear in the announcements.
 */
export const getPrefetch = (upstreamId: string, models: readonly string[], engines: readonly EngineCopies[], concurrentLoads: number): string | undefined => {
	const missing = models
		.filter(model => engines.every(engine => !engine.models.has(model)))
		.sort((left, right) => getHash(left) - getHash(right))
		.slice(0, concurrentLoads);
	let free = [...engines];
	for (const model of missing) {
		const engine = getAssignedEngine(model, free);
		if (engine?.upstreamId === upstreamId) {
			return model;
		}

		free = free.filter(other => other !== engine);
	}

	return undefined;
};
