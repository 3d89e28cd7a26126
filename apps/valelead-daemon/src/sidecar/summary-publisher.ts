import {type Clock, type TimerService, Coalescer} from '@valelead/common';
import {isSignificantChange} from './is-significant-change.js';
import type {EngineSummary} from './engine-summary.js';

type PublisherOptions = {
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
const MIN_COALESCE_MS = 60;
const MAX_COALESCE_MS = 1000;

/** A small change is told after this time, in milliseconds, or together with a larger one. */
const SMALL_CHANGE_MS = 1000;

/** What followers are told of at once where it changes. */
const getOffer = ({upstreamId, loads, copiesOnDisk, models}: EngineSummary): unknown[] =>
	[upstreamId, loads.map(load => load.model), copiesOnDisk, models.map(({name, version, adapters}) => [name, version, adapters])];

/** Tells followers what the engine offers: at once where that changes, and some time later where only counts do. */
export class SummaryPublisher {
	readonly #parts: PublisherOptions;
	readonly #listeners = new Set<(summary: EngineSummary) => void>();
	readonly #changes: Coalescer;
	#published: EngineSummary | undefined;
	#publishedText = '';
	#publishedOffer = '';
	#publishedAt = Number.NEGATIVE_INFINITY;

	constructor(parts: PublisherOptions) {
		this.#parts = parts;
		this.#changes = new Coalescer(parts.timers, () => this.#getCoalesceMs(), now => {
			this.#publishChange(now);
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
		if (offer === this.#publishedOffer) {
			this.publishSoon();
			return;
		}

		this.#publishedOffer = offer;
		this.#notify(summary, JSON.stringify(summary));
	}

	/** Counts may have changed. */
	publishSoon(): void {
		this.#changes.schedule();
	}

	#getCoalesceMs(): number {
		return Math.min(MAX_COALESCE_MS, Math.max(MIN_COALESCE_MS, this.#listeners.size * COALESCE_PER_FOLLOWER_MS));
	}

	#publishChange(now: number): void {
		const summary = this.#parts.getSummary();
		const text = JSON.stringify(summary);
		if (!summary || text === this.#publishedText) {
			return;
		}

		if (isSignificantChange(this.#published, summary) || now - this.#publishedAt >= SMALL_CHANGE_MS) {
			this.#notify(summary, text);
			return;
		}

		this.publishSoon();
	}

	#notify(summary: EngineSummary | undefined, text: string): void {
		this.#published = summary;
		this.#publishedText = text;
		this.#publishedAt = this.#parts.clock.now();
		if (!summary) {
			return;
		}

		for (const listener of this.#listeners) {
			listener(summary);
		}
	}
}
