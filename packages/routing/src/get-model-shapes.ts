import type {EngineLimits} from './engine-limits.js';
import type {ModelShape} from './model-shape.js';

const indexes = new WeakMap<EngineLimits, ReadonlyMap<string, ModelShape>>();

/** Returns the models of a service by name. The index is built once for each routing configuration. */
export const getModelShapes = (engine: EngineLimits): ReadonlyMap<string, ModelShape> => {
	const known = indexes.get(engine);
	if (known) {
		return known;
	}

	const index = new Map(engine.models.map(model => [model.name, model]));
	indexes.set(engine, index);
	return index;
};
