import {type EngineLimits, getModelShapes} from '@valelead/routing';
import type {EngineView} from './engine-view.js';
import type {EngineUsage} from './engine-usage.js';

type KnownFacts = {
	readonly limits: EngineLimits | undefined;
	readonly facts: EngineUsage;
};

const known = new WeakMap<EngineView, KnownFacts>();

const isInUse = ({models, inProgressByModel, loads}: EngineView): boolean => {
	const idle = models.filter(model => (inProgressByModel.get(model.name) ?? 0) === 0);
	return idle.length <= loads.length;
};

const newSiteFacts = (view: EngineView, limits: EngineLimits | undefined): EngineUsage => {
	const shapes = limits && getModelShapes(limits);
	const models = new Set([...view.models.map(held => held.name), ...view.loads.map(load => load.model)]);
	const usedMemory = [...models].reduce((sum, name) => sum + (shapes?.get(name)?.weightMemory ?? 0), 0);
	return {models, usedMemory, isEvictionBlocked: isInUse(view)};
};

/** The facts of an engine as it is known, worked out once for all models: each wish looks at all engines. */
export const getEngineUsage = (view: EngineView, limits: EngineLimits | undefined): EngineUsage => {
	const last = known.get(view);
	if (last && last.limits === limits) {
		return last.facts;
	}

	const facts = newSiteFacts(view, limits);
	known.set(view, {limits, facts});
	return facts;
};
