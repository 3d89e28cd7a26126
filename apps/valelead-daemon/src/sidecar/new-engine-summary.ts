import {
	type Capacity, type EngineOrder, type EngineModels, type ModelLoad, type UnitNeed, getLoadMs, getLoadQueue,
} from '@valelead/residency';
import type {EngineStatus} from '../adapter/engine-status.js';
import {getPace} from './get-pace.js';
import {getRemainingMs} from './get-remaining-ms.js';
import type {EngineSummary} from './engine-summary.js';
import type {LoadInProgress} from './load-in-progress.js';

type SummaryParts = {
	readonly upstreamId: string;
	readonly status: EngineStatus;
	readonly capacity: Capacity | undefined;
	readonly engine: EngineModels;
	readonly needs: readonly UnitNeed[];
	/** The order to unload a model or adapter that is about to be sent; the unit is no longer offered to gateways. */
	readonly unloading: EngineOrder | undefined;
	readonly loading: LoadInProgress | undefined;
	/** Concurrent fetches that the weight store sustains, as gateways report; 0 if none has measured it. */
	readonly sustainedFetches: number;
	/** Returns how long requests have been waiting for a model, in milliseconds. */
	readonly getModelWaitMs: (model: string) => number;
	readonly now: number;
};

/** Remaining times of loads are rounded up to multiples of this, in milliseconds, so that not every passing millisecond changes the summary. */
const REMAINING_STEP_MS = 250;

const getRounded = (milliseconds: number): number => Math.ceil(milliseconds / REMAINING_STEP_MS) * REMAINING_STEP_MS;

const getOfferedModels = ({status, needs, unloading}: SummaryParts): EngineSummary['models'] => status.models
	.filter(model => !(unloading?.adapter === '' && unloading.model === model.name))
	.map(model => ({
		name: model.name,
		version: model.version,
		inProgress: needs.filter(need => need.model === model.name).reduce((sum, need) => sum + need.inProgress, 0),
		adapters: model.adapters.filter(adapter => !(unloading?.model === model.name && unloading.adapter === adapter)),
	}));

const getWaiting = (needs: readonly UnitNeed[], model: string): number => needs.filter(need => need.model === model).reduce((sum, need) => sum + need.waiting, 0);

const getLoads = ({status, capacity, engine, needs, loading, getModelWaitMs, now}: SummaryParts): ModelLoad[] => {
	if (!capacity) {
		return [];
	}

	const loaded = new Set(engine.models.map(model => model.name));
	const getModelMs = (model: string): number => getLoadMs(capacity, engine, model);
	const current = status.isBusy ? loading : undefined;
	let remainingMs = current ? getRemainingMs(current, now) : 0;
	const loads = current
		? [{
			model: current.model, remainingMs: getRounded(remainingMs), waiting: getWaiting(needs, current.model), isStarted: true, pace: getPace(current, now),
		}]
		: [];
	for (const model of getLoadQueue({
		loaded, needs, getLoadMs: getModelMs, getModelWaitMs,
	})) {
		if (model !== current?.model && capacity.models.has(model)) {
			remainingMs += getModelMs(model);
			loads.push({
				model, remainingMs: getRounded(remainingMs), waiting: getWaiting(needs, model), isStarted: false, pace: 0,
			});
		}
	}

	return loads;
};

/** Builds the summary of an engine's state that is sent to gateways. */
export const newEngineSummary = (parts: SummaryParts): EngineSummary => {
	const {upstreamId, status, needs, sustainedFetches} = parts;
	return {
		upstreamId,
		models: getOfferedModels(parts),
		loads: getLoads(parts),
		copiesInMemory: [...status.copiesInMemory],
		copiesOnDisk: [...status.copiesOnDisk],
		inProgress: needs.reduce((sum, need) => sum + need.inProgress, 0),
		waiting: needs.reduce((sum, need) => sum + need.waiting, 0),
		cacheShare: status.cacheTokens === 0 ? 0 : Math.round(100 * status.cacheUsedTokens / status.cacheTokens) / 100,
		sustainedFetches,
	};
};
