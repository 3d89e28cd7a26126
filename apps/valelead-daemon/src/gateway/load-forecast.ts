import {getSoonestMs} from '@valelead/residency';
import type {Demand} from './demand.js';
import type {LoadCandidates} from './load-candidates.js';
import {newPlacementRequest} from './new-placement-request.js';

type Forecast = {
	/** When the unit is loaded, in monotonic milliseconds; undefined where that is not known. */
	readonly loadedAt: number | undefined;
};

/** A forecast stands for this long, in milliseconds: it looks at all engines, and what they tell changes about as often. */
const STANDING_MS = 100;

/** Tells when units that requests wait for are loaded at the soonest. */
export class LoadForecast {
	readonly #sites: LoadCandidates;
	readonly #forecasts = new Map<string, Forecast>();
	#clearedAt = 0;

	constructor(sites: LoadCandidates) {
		this.#sites = sites;
	}

	/**
	 * Until a unit is loaded somewhere, in milliseconds: where it is queued, in its turn, elsewhere after the load in
	 * progress. Undefined while the engines are not all known, as after the start of this process.
	 */
	getMs(demand: Demand, now: number): number | undefined {
		if (now - this.#clearedAt > STANDING_MS) {
			this.#forecasts.clear();
			this.#clearedAt = now;
		}

		const forecast = this.#forecasts.get(demand.target) ?? this.#make(demand, now);
		this.#forecasts.set(demand.target, forecast);
		return forecast.loadedAt === undefined ? undefined : Math.max(0, forecast.loadedAt - now);
	}

	#make({service, model, adapter, target}: Demand, now: number): Forecast {
		const unit = newPlacementRequest({
			service, model, adapter, key: target,
		});
		const shape = this.#sites.getShape(unit);
		const sites = this.#sites.getSuitable(unit);
		if (!shape || sites.length === 0 || !this.#sites.isSettled(service)) {
			return {loadedAt: undefined};
		}

		return {loadedAt: now + Math.min(...sites.map(site => getSoonestMs(site, shape)))};
	}
}
