import type {LoadCandidate} from '@valelead/residency';
import type {EngineLimits} from '@valelead/routing';
import type {EngineView} from './engine-view.js';
import {getEngineUsage} from './get-engine-usage.js';
import {hasRoom} from './has-room.js';

/**
 * Creates the load candidate of an engine: its state as far as it bears on loading the given model there.
 * @param mostCopies - Largest number of copies that any usable engine of the service has on its disk.
 */
export const newLoadCandidate = (view: EngineView, model: string, limits: EngineLimits | undefined, mostCopies: number): LoadCandidate => {
	const {upstream, models, loads, copiesInMemory, copiesOnDisk, inProgress} = view;
	const load = loads.find(other => other.model === model);
	return {
		upstreamId: upstream.id,
		isLoaded: models.some(loaded => loaded.name === model),
		hasMemoryCopy: copiesInMemory.includes(model),
		hasDiskCopy: copiesOnDisk.includes(model),
		copyShare: copiesOnDisk.length / Math.max(1, mostCopies),
		isEvictionBlocked: !hasRoom(view, model, limits) && getEngineUsage(view, limits).isEvictionBlocked,
		remainingMs: load?.remainingMs,
		isStarted: load?.isStarted ?? false,
		busyMs: loads.find(other => other.isStarted)?.remainingMs ?? 0,
		queueMs: loads.at(-1)?.remainingMs ?? 0,
		slotUtilization: inProgress / Math.max(1, upstream.slots),
	};
};
