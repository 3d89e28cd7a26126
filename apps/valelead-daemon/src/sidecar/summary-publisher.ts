import {type Clock, type TimerService, Coalescer} from '@valelead/common';
import {isSignificantChange} from './is-significant-change.js';
import type {EngineSummary} from './engine-summary.js';

type PublisherParts = {
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly getSummary: () => EngineSummary | undefined;
};

/**
 * Changes of counts alone are told together after this time for each follower, in milliseconds, so that what one follower
 * hears does not grow with the installation: with as many gateways as engines it takes at most some tens of reports a second.
 */
const COALESCE_PER_FOLLOWER_MS = 8;

/** The bounds of that time, in milliseconds. */
const LEAST_COALESCE_MS = 60;
const MOST_COALESCE_MS = 1000;

/** A small change is told after this time, in milliseconds, or together with a larger one. */
const SMALL_CHANGE_MS = 1000;

/** What followers are told of at once where it changes. */
const getOffer = ({upstreamId, loads, copiesOnDisk, models}: EngineSummary): unknown[] =>
	[upstreamId, loads.map(load => load.model), copiesOnDisk, models.map(({name, version, adapters}) => [name, version, adapters])];

/** Tells followers what the engine offers: at once where that changes, and some time later where only counts do. */
export class SummaryPublisher {
	readonly #parts: PublisherParts;
	readonly #listeners = new Set<(summary: EngineSummary) => void>();
	readonly #changes: Coalescer;
	#told: EngineSummary | undefined;
	#toldText = '';
	#toldOffer = '';
	#toldAt = Number.NEGATIVE_INFINITY;

	constructor(parts: PublisherParts) {
		this.#parts = parts;
		this.#changes = new Coalescer(parts.timers, () => this.#getCoalesceMs(), now => {
			this.#tellChange(now);
		});
	}

	/** Calls back with the summary whenever followers are to be told. All get the same one, as it takes the needs of all gateways together. */
	subscribe(listener: (summary: EngineSummary) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** What is offered, loading or kept may have changed. */
	publish(): void {
		const summary = this.#parts.getSummary();
		const offer = JSON.stringify(summary && getOffer(summary));
		if (offer === this.#toldOffer) {
			this.publishSoon();
			return;
		}

		this.#toldOffer = offer;
		this.#tell(summary, JSON.stringify(summary));
	}

	/** Counts may have changed. */
	publishSoon(): void {
		this.#changes.schedule();
	}

	#getCoalesceMs(): number {
		return Math.min(MOST_COALESCE_MS, Math.max(LEAST_COALESCE_MS, this.#listeners.size * COALESCE_PER_FOLLOWER_MS));
	}

	#tellChange(now: number): void {
		const summary = this.#parts.getSummary();
		const text = JSON.stringify(summary);
		if (!summary || text === this.#toldText) {
			return;
		}

		if (isSignificantChange(this.#told, summary) || now - this.#toldAt >= SMALL_CHANGE_MS) {
			this.#tell(summary, text);
			return;
		}

		this.publishSoon();
	}

	#tell(summary: EngineSummary | undefined, text: string): void {
		this.#told = summary;
		this.#toldText = text;
		this.#toldAt = this.#parts.clock.now();
		if (!summary) {
			return;
		}

		for (const listener of this.#listeners) {
			listener(summary);
		}
	}
}
