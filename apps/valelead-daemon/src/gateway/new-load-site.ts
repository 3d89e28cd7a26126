import {type LoadSite, isShortOfCopies} from '@valelead/residency';
import {type EngineLimits, getModelShapes} from '@valelead/routing';
import type {EngineView} from './engine-view.js';

const hasRoom = ({models, loads}: EngineView, model: string, limits: EngineLimits | undefined): boolean => {
	if (!limits) {
		return false;
	}

	const shapes = getModelShapes(limits);
	const names = new Set([...models.map(held => held.name), ...loads.map(load => load.model), model]);
	const used = [...names].reduce((sum, name) => sum + (shapes.get(name)?.weightMemory ?? 0), 0);
	return used <= limits.weightMemory;
};

/** Whether each model that could make way is in use or makes way for a load that is queued already. */
const isInUse = ({models, inProgressByModel, loads}: EngineView): boolean => {
	const idle = models.filter(model => (inProgressByModel.get(model.name) ?? 0) === 0);
	return idle.length <= loads.length;
};

/**
 * An engine as a place where a model could be loaded.
 * @param mostCopies - How many models the engine that keeps most copies has on its disk.
 */
export const newLoadSite = (view: EngineView, model: string, limits: EngineLimits | undefined, mostCopies: number): LoadSite => {
	const {upstream, models, loads, copiesInMemory, copiesOnDisk, inProgress} = view;
	const load = loads.find(other => other.model === model);
	const isRoomy = hasRoom(view, model, limits);
	return {
		upstreamId: upstream.id,
		isHeld: models.some(held => held.name === model),
		hasMemoryCopy: copiesInMemory.includes(model),
		hasDiskCopy: copiesOnDisk.includes(model),
		copyShare: copiesOnDisk.length / Math.max(1, mostCopies),
		isShortOfCopies: isShortOfCopies(copiesOnDisk.length, mostCopies),
		hasRoom: isRoomy,
		isInUse: !isRoomy && isInUse(view),
		remainingMs: load?.remainingMs,
		isStarted: load?.isStarted ?? false,
		busyMs: loads.find(other => other.isStarted)?.remainingMs ?? 0,
		queueMs: loads.at(-1)?.remainingMs ?? 0,
		pressure: inProgress / Math.max(1, upstream.slots),
	};
};
