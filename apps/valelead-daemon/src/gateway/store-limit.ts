import {
	type StoreConcurrencyLimit, type StoreEstimate, type StoreFetch, getSharedEstimate, mutateStoreConcurrencyLimit, mutateStoreEstimate, newStoreConcurrencyLimit, newStoreEstimate,
} from '@valelead/residency';
import type {EngineView} from './engine-view.js';
import type {StoreLimitChange} from './store-limit-change.js';
import type {StoreReport} from './store-report.js';

type StoreLimitParts = {
	/** True if the limit is learned from fetches in progress and shared with the managers of engines. */
	readonly isForecast: boolean;
	readonly onChange: (change: StoreLimitChange) => void;
};

/** Returns the loads from the weight store that are in progress at an engine. */
const getFetches = ({upstream, loads}: EngineView): StoreFetch[] => loads.filter(({pace}) => pace > 0).map(({model, pace}) => ({upstreamId: upstream.id, model, pace}));

/** The limit of concurrent fetches from the weight store, which all services share. */
export class StoreLimit {
	readonly #parts: StoreLimitParts;
	readonly #limit: StoreConcurrencyLimit = newStoreConcurrencyLimit();
	readonly #estimate: StoreEstimate = newStoreEstimate();
	#fetching: ReadonlySet<string> = new Set();

	constructor(parts: StoreLimitParts) {
		this.#parts = parts;
	}

	get maxFetches(): number {
		return this.#parts.isForecast ? this.#estimate.maxFetches : this.#limit.maxFetches;
	}

	/** Ids of the engines that are fetching from the store; empty if they are not considered. */
	get fetchingIds(): ReadonlySet<string> {
		return this.#fetching;
	}

	/** What the managers of engines are told about the store. An estimate that came from them is not reported back. */
	get report(): StoreReport {
		return {sustainedFetches: this.#estimate.isMeasured ? this.#estimate.maxFetches : 0, fetchesInProgress: this.#fetching.size};
	}

	update(views: ReadonlyMap<string, EngineView>): void {
		const before = this.maxFetches;
		const all = [...views.values()];
		const fetches = all.flatMap(view => getFetches(view));
		if (this.#parts.isForecast) {
			this.#fetching = new Set(fetches.map(({upstreamId}) => upstreamId));
			this.#updateEstimate(views, fetches);
		} else {
			mutateStoreConcurrencyLimit(this.#limit, fetches);
		}

		if (this.maxFetches !== before) {
			this.#parts.onChange({atOnce: this.maxFetches, before, underWay: fetches.length});
		}
	}

	#updateEstimate(views: ReadonlyMap<string, EngineView>, fetches: readonly StoreFetch[]): void {
		mutateStoreEstimate(this.#estimate, fetches, ({upstreamId, model}) => {
			const view = views.get(upstreamId);
			return view !== undefined && (view.models.some(({name}) => name === model) || view.copiesOnDisk.includes(model) || view.copiesInMemory.includes(model));
		});
		if (!this.#estimate.isMeasured) {
			const shared = getSharedEstimate([...views.values()].map(view => view.sustainedFetches ?? 0));
			this.#estimate.maxFetches = shared > 0 ? shared : this.#estimate.maxFetches;
		}
	}
}
