import type {EngineLimits} from './engine-limits.js';
import type {ModelProfile} from './model-profile.js';

const indexes = new WeakMap<EngineLimits, ReadonlyMap<string, ModelProfile>>();

/** Returns the models of a service by name. The index is built once for each routing configuration. */
export const getModelProfiles = (engine: EngineLimits): ReadonlyMap<string, ModelProfile> => {
	const known = indexes.get(engine);
	if (known) {
		return known;
	}

	const index = new Map(engine.models.map(model => [model.name, model]));
	indexes.set(engine, index);
	return index;
};
