import {type EngineLimits, getModelProfiles} from '@valelead/routing';
import type {EngineView} from './engine-view.js';
import {getEngineUsage} from './get-engine-usage.js';

/** True if a model fits into the memory of an engine beside all models that are loaded or queued to be loaded there. */
export const hasRoom = (view: EngineView, model: string, limits: EngineLimits | undefined): boolean => {
	if (!limits) {
		return false;
	}

	const {models, usedMemory} = getEngineUsage(view, limits);
	const ownMemory = models.has(model) ? 0 : getModelProfiles(limits).get(model)?.weightMemory ?? 0;
	return usedMemory + ownMemory <= limits.weightMemory;
};
