import type {Clock} from '@valelead/common';
import {
	type EngineCopies, type UnitNeed, getRebalancingFetch, getPrefetch,
} from '@valelead/residency';
import type {StoreReport} from '../gateway/store-report.js';

type PrefetcherParts = {
	readonly clock: Clock;
	/** The maximum number of engines in the installation that fetch from the weight store at the same time without a request waiting for the fetch. */
	readonly concurrentStoreLoads: number;
	/** Returns what the gateways report about the weight store. */
	readonly getStore: () => StoreReport;
};

/** An engine counts as idle once no gateway has reported a need for it for this long, in milliseconds. */
const IDLE_MS = 3000;

/** An engine with few copies fetches more once no request has waited for a load for this long, in milliseconds. */
const NO_WAITING_MS = 1000;

/**
 * No prefetch begins until the set of engines has stayed the same for this long, in milliseconds, as each engine computes from that set which
 * engine fetches which model.
 */
const ENGINES_SETTLED_MS = 2000;

const NO_NEED = {
	adapter: '', waiting: 0, inProgress: 0, waits: [],
};

/** The wait of a prefetch. Its weight and deadline put it behind all loads that requests wait for. */
const PREFETCH_WAIT = {
	count: 1, weight: 0, dueInMs: Number.MAX_SAFE_INTEGER, leavesInMs: Number.MAX_SAFE_INTEGER,
};

/** Decides which models an engine fetches from the weight store before any request needs them. */
export class Prefetcher {
	readonly #parts: PrefetcherParts;
	#engines: readonly EngineCopies[] = [];
	#engineIds = '';
	#enginesChangedAt = Number.NEGATIVE_INFINITY;
	#loadedElsewhere: ReadonlySet<string> = new Set();
	#lastNeededAt = Number.NEGATIVE_INFINITY;
	#lastWaitedAt = Number.NEGATIVE_INFINITY;

	constructor(parts: PrefetcherParts) {
		this.#parts = parts;
	}

	/** Models that are loaded on other engines. */
	get loadedElsewhere(): ReadonlySet<string> {
		return this.#loadedElsewhere;
	}

	/** Updates which models all engines of the service have loaded or keep copies of, including the engine of this prefetcher. */
	setEngines(engines: readonly EngineCopies[], upstreamId: string): void {
		const ids = engines.map(engine => engine.upstreamId).sort().join(' ');
		this.#enginesChangedAt = ids === this.#engineIds ? this.#enginesChangedAt : this.#parts.clock.now();
		this.#engineIds = ids;
		this.#engines = engines;
		this.#loadedElsewhere = new Set(engines.filter(engine => engine.upstreamId !== upstreamId).flatMap(engine => [...engine.loaded]));
	}

	/** Records when a gateway last needed the engine, and when requests last waited for it. */
	noteNeeds(needs: readonly UnitNeed[]): void {
		const now = this.#parts.clock.now();
		this.#lastNeededAt = needs.length > 0 ? now : this.#lastNeededAt;
		this.#lastWaitedAt = needs.some(need => need.waiting > 0) ? now : this.#lastWaitedAt;
	}

	/**
	 * Returns the model to fetch now, as a need, along with needs that protect other models from being evicted for it. Models that are loaded on
	 * several engines are protected, as they are busy and their next requests may arrive at any moment.
	 */
	getNeeds(upstreamId: string, models: readonly string[]): UnitNeed[] {
		const model = this.#choose(upstreamId, models);
		if (model === undefined) {
			return [];
		}

		const keptLoaded = [...this.#loadedElsewhere].map(name => ({...NO_NEED, model: name, inProgress: 1}));
		return [{
			...NO_NEED, model, waiting: 1, waits: [PREFETCH_WAIT],
		}, ...keptLoaded];
	}

	#choose(upstreamId: string, models: readonly string[]): string | undefined {
		const now = this.#parts.clock.now();
		if (now - this.#enginesChangedAt <= ENGINES_SETTLED_MS) {
			return undefined;
		}

		const {sustainedFetches, fetchesInProgress} = this.#parts.getStore();
		const isMeasured = sustainedFetches > 0;
		if (isMeasured && fetchesInProgress >= sustainedFetches) {
			return undefined;
		}

		// The configured number applies until gateways have measured what the store sustains.
		const concurrentStoreLoads = Math.min(this.#parts.concurrentStoreLoads, isMeasured ? sustainedFetches : Number.POSITIVE_INFINITY);
		const missing = now - this.#lastNeededAt > IDLE_MS ? getPrefetch(upstreamId, models, this.#engines, concurrentStoreLoads) : undefined;
		if (missing !== undefined || now - this.#lastWaitedAt <= NO_WAITING_MS) {
			return missing;
		}

		return getRebalancingFetch(upstreamId, models, this.#engines, concurrentStoreLoads);
	}
}
