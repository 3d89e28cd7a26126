import {getEarliestReadyMs, getForecastReadyMs} from '@valelead/residency';
import type {Demand} from './demand.js';
import type {LoadCandidates} from './load-candidates.js';
import {newPlacementRequest} from './new-placement-request.js';

type Forecast = {
	/** When the unit is expected to be loaded, in monotonic milliseconds; undefined if the engines are not all known. */
	readonly loadedAt: number | undefined;
};

/** Time to live of cached forecasts, in milliseconds: each one scans all engines, and their reports change about as often. */
const CACHE_TTL_MS = 100;

/** Forecasts the earliest time at which a unit that requests wait for is loaded. */
export class LoadForecast {
	readonly #candidates: LoadCandidates;
	readonly #getReadyMs: typeof getEarliestReadyMs;
	readonly #forecasts = new Map<string, Forecast>();
	#clearedAt = 0;

	/** @param isLoadForecast - The setting `scheduling.loadForecast`. */
	constructor(candidates: LoadCandidates, isLoadForecast: boolean) {
		this.#candidates = candidates;
		this.#getReadyMs = isLoadForecast ? getForecastReadyMs : getEarliestReadyMs;
	}

	/**
	 * Returns the earliest time until the unit is loaded on some engine, in milliseconds. An engine that has the unit in its queue loads it in queue
	 * order, any other engine after its load in progress. Returns undefined while the engines are not all known, as after the start of this process.
	 */
	getMs(demand: Demand, now: number): number | undefined {
		if (now - this.#clearedAt > CACHE_TTL_MS) {
			this.#forecasts.clear();
			this.#clearedAt = now;
		}

		const forecast = this.#forecasts.get(demand.target) ?? this.#newForecast(demand, now);
		this.#forecasts.set(demand.target, forecast);
		return forecast.loadedAt === undefined ? undefined : Math.max(0, forecast.loadedAt - now);
	}

	#newForecast({service, model, adapter, target, origin}: Demand, now: number): Forecast {
		const request = newPlacementRequest({
			service, model, adapter, key: target, origin,
		});
		const shape = this.#candidates.getShape(request);
		const candidates = this.#candidates.getSuitable(request);
		if (!shape || candidates.length === 0 || !this.#candidates.isSettled(service)) {
			return {loadedAt: undefined};
		}

		return {loadedAt: now + Math.min(...candidates.map(candidate => this.#getReadyMs(candidate, shape)))};
	}
}
