import type {LoadSite} from '@valelead/residency';
import type {EngineView} from './engine-view.js';

/** An engine as a place where a model could be loaded. */
export const newLoadSite = ({upstream, models, loads, copiesInMemory, copiesOnDisk, inProgress}: EngineView, model: string): LoadSite => ({
	upstreamId: upstream.id,
	isHeld: models.some(held => held.name === model),
	hasMemoryCopy: copiesInMemory.includes(model),
	hasDiskCopy: copiesOnDisk.includes(model),
	remainingMs: loads.find(load => load.model === model)?.remainingMs,
	queueMs: loads.at(-1)?.remainingMs ?? 0,
	pressure: inProgress / Math.max(1, upstream.slots),
});
