import {type EngineLimits, getModelProfiles} from '@valelead/routing';
import type {EngineView} from './engine-view.js';
import type {EngineUsage} from './engine-usage.js';

type CachedUsage = {
	readonly limits: EngineLimits | undefined;
	readonly usage: EngineUsage;
};

const cache = new WeakMap<EngineView, CachedUsage>();

const isEvictionBlocked = ({models, inProgressByModel, loads}: EngineView): boolean => {
	const idle = models.filter(model => (inProgressByModel.get(model.name) ?? 0) === 0);
	return idle.length <= loads.length;
};

const newEngineUsage = (view: EngineView, limits: EngineLimits | undefined): EngineUsage => {
	const shapes = limits && getModelProfiles(limits);
	const models = new Set([...view.models.map(loaded => loaded.name), ...view.loads.map(load => load.model)]);
	const usedMemory = [...models].reduce((sum, name) => sum + (shapes?.get(name)?.weightMemory ?? 0), 0);
	return {models, usedMemory, isEvictionBlocked: isEvictionBlocked(view)};
};

/** Returns the memory use of an engine. It is cached for each view, as every placement request scans all engines. */
export const getEngineUsage = (view: EngineView, limits: EngineLimits | undefined): EngineUsage => {
	const last = cache.get(view);
	if (last && last.limits === limits) {
		return last.usage;
	}

	const usage = newEngineUsage(view, limits);
	cache.set(view, {limits, usage});
	return usage;
};
