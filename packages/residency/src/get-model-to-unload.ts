import type {EngineModels} from './engine-models.js';
import type {ResidencyState} from './residency-state.js';
import type {UnitNeed} from './unit-need.js';

/**
 * The time at which a model counts as last used. A model that has not been used yet counts as used at time 0 if it is also loaded on other
 * engines, and a model without a copy on this engine counts as the most recently used one, so that other models are unloaded first.
 */
const getLastUsedAt = (state: ResidencyState, engine: EngineModels, name: string): number => {
	const hasCopy = engine.copiesOnDisk.includes(name) || engine.copiesInMemory.includes(name);
	if (!hasCopy) {
		return Number.MAX_VALUE;
	}

	return state.lastUsedAt.get(name) ?? (engine.loadedElsewhere.has(name) ? 0 : Number.NEGATIVE_INFINITY);
};

/**
 * The least recently used loaded model that no request waits for or uses. A model without a copy on the engine is chosen last, because
 * loading it again would need the weight store. Undefined if all loaded models are needed.
 */
export const getModelToUnload = (state: ResidencyState, engine: EngineModels, needs: readonly UnitNeed[]): string | undefined => {
	const needed = new Set(needs.filter(need => need.waiting + need.inProgress > 0).map(need => need.model));
	let idle: string | undefined;
	let idleSince = Number.POSITIVE_INFINITY;
	for (const {name} of engine.models) {
		const usedAt = getLastUsedAt(state, engine, name);
		if (!needed.has(name) && (idle === undefined || usedAt < idleSince)) {
			idle = name;
			idleSince = usedAt;
		}
	}

	return idle;
};
