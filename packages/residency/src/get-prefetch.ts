import {getHash} from './get-hash.js';
import type {EngineCopies} from './engine-copies.js';

const getAssignedEngine = (model: string, engines: readonly EngineCopies[]): EngineCopies | undefined => {
	const [first] = [...engines].sort((left, right) => getHash(`${model} ${right.upstreamId}`) - getHash(`${model} ${left.upstreamId}`));
	return first;
};

/**
 * The model that an idle engine should prefetch from the weight store, so that at least one engine has a copy of every model. All engines
 * compute the same list of missing models from the same announcements. The first `concurrentLoads` models are assigned to one engine each;
 * the next ones follow when the announcements show these copies. Undefined if no model is assigned to this engine.
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
