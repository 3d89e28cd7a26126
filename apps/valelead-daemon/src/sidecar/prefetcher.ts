import type {Clock} from '@valelead/common';
import {
	type EngineCopies, type UnitNeed, getRebalancingFetch, getPrefetch,
} from '@valelead/residency';

type PrefetcherParts = {
	readonly clock: Clock;
	/** Engines that fetch from the weight store at once, over the installation, for no request that waits. */
	readonly concurrentStoreLoads: number;
};

/** An engine counts as idle when nothing was needed of it for this long, in milliseconds. */
const IDLE_MS = 3000;

/** No request has waited for a load for this long before an engine fetches copies that it is short of, in milliseconds. */
const NO_WAITING_MS = 1000;

/** The engines that announce themselves must not have changed for this long, in milliseconds, as each works out who fetches what. */
const ENGINES_SETTLED_MS = 2000;

const NO_NEED = {
	adapter: '', waiting: 0, inProgress: 0, waits: [],
};

/** A fetch that no request waits for goes after all others. */
const PREFETCH_WAIT = {
	count: 1, weight: 0, dueInMs: Number.MAX_SAFE_INTEGER, leavesInMs: Number.MAX_SAFE_INTEGER,
};

/** Decides what an engine fetches from the weight store while no request waits for it. */
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

	/** Models that other engines hold as well. */
	get loadedElsewhere(): ReadonlySet<string> {
		return this.#loadedElsewhere;
	}

	/** Learns what the engines of the service keep, the own one among them. */
	setEngines(engines: readonly EngineCopies[], upstreamId: string): void {
		const ids = engines.map(engine => engine.upstreamId).sort().join(' ');
		this.#enginesChangedAt = ids === this.#engineIds ? this.#enginesChangedAt : this.#parts.clock.now();
		this.#engineIds = ids;
		this.#engines = engines;
		this.#loadedElsewhere = new Set(engines.filter(engine => engine.upstreamId !== upstreamId).flatMap(engine => [...engine.loaded]));
	}

	/** Notes what a gateway needs of the engine. */
	noteNeeds(needs: readonly UnitNeed[]): void {
		const now = this.#parts.clock.now();
		this.#lastNeededAt = needs.length > 0 ? now : this.#lastNeededAt;
		this.#lastWaitedAt = needs.some(need => need.waiting > 0) ? now : this.#lastWaitedAt;
	}

	/**
	 * The model to fetch now, as a need, with those that must not make way for it: models that several engines hold are
	 * busy ones, whose requests may begin at any moment.
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

		const {concurrentStoreLoads} = this.#parts;
		const missing = now - this.#lastNeededAt > IDLE_MS ? getPrefetch(upstreamId, models, this.#engines, concurrentStoreLoads) : undefined;
		if (missing !== undefined || now - this.#lastWaitedAt <= NO_WAITING_MS) {
			return missing;
		}

		return getRebalancingFetch(upstreamId, models, this.#engines, concurrentStoreLoads);
	}
}
