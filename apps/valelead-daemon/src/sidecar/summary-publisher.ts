import {type Clock, type TimerService, Coalescer} from '@valelead/common';
import {isSignificantChange} from './is-significant-change.js';
import type {EngineSummary} from './engine-summary.js';

type PublisherOptions = {
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly getSummary: () => EngineSummary | undefined;
};

/**
 * Changes of counts alone are batched for this time per follower, in milliseconds, so that the number of reports that one follower receives does
 * not grow with the installation: with as many gateways as engines, a gateway receives at most some tens of reports a second.
 */
const COALESCE_PER_FOLLOWER_MS = 8;

/** The lower and upper bound of the batching time, in milliseconds. */
const MIN_COALESCE_MS = 60;
const MAX_COALESCE_MS = 1000;

/** A small change is published after this time, in milliseconds, or together with a larger one if that comes first. */
const SMALL_CHANGE_MS = 1000;

/** The part of a summary whose changes are published at once. */
const getOffer = ({upstreamId, loads, copiesOnDisk, models}: EngineSummary): unknown[] =>
	[upstreamId, loads.map(load => load.model), copiesOnDisk, models.map(({name, version, adapters}) => [name, version, adapters])];

const getOfferText = (summary: EngineSummary | undefined): string => JSON.stringify(summary && getOffer(summary));

/** Publishes summaries of an engine to followers: changes of its offered models, loads and copies on disk at once, changes of counts in batches. */
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

	/**
	 * Registers a listener for summaries. All listeners receive the same summary, as it covers the needs of all gateways. Returns a function that
	 * removes the listener.
	 */
	subscribe(listener: (summary: EngineSummary) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Publishes the summary at once if its models, loads or copies on disk have changed; schedules it otherwise. */
	publish(): void {
		const summary = this.#parts.getSummary();
		if (getOfferText(summary) === this.#publishedOffer) {
			this.schedulePublish();
			return;
		}

		this.#publishAll(summary);
	}

	/** Publishes the summary at once, whatever has changed; the caller bounds how often. */
	publishNow(): void {
		this.#publishAll(this.#parts.getSummary());
	}

	/** Schedules a check whether counts have changed; to be called after they may have. */
	schedulePublish(): void {
		this.#changes.schedule();
	}

	#getCoalesceMs(): number {
		return Math.min(MAX_COALESCE_MS, Math.max(MIN_COALESCE_MS, this.#listeners.size * COALESCE_PER_FOLLOWER_MS));
	}

	#publishAll(summary: EngineSummary | undefined): void {
		this.#publishedOffer = getOfferText(summary);
		this.#notify(summary, JSON.stringify(summary));
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

		this.schedulePublish();
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
