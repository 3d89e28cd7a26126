import {isEventStream} from '@valelead/answer';
import type {Clock, TimerService} from '@valelead/common';
import {type SpeedSamples, SpeedSamplesSchema} from '@valelead/protocol';
import {create} from '@bufbuild/protobuf';
import {getEventCount} from './get-event-count.js';
import type {AttemptOptions} from './attempt-options.js';

type MeterParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
	/** Called at intervals for each engine address with samples that were not yet taken. */
	readonly onPending: (address: string, samples: SpeedSamples) => void;
};

const HTTP_OK = 200;

/** Interval at which samples that were not yet taken are offered, in milliseconds. */
const OFFER_MS = 50;

/**
 * If the timer above is later than this, in milliseconds, the process was suspended or got no processor time, and what it measures is its own pause. A
 * process that is limited to a fifth of a core pauses for up to 80 ms at a time.
 */
const MAX_TICK_MS = 150;

/** Measures the streams that upstreams send: the time to the first event and between events, summed by engine. */
export class SpeedMeter {
	readonly #parts: MeterParts;
	readonly #samples = new Map<string, SpeedSamples>();
	#tickedAt: number;
	/** When the last pause of this process ended, in monotonic milliseconds. */
	#resumedAt = Number.NEGATIVE_INFINITY;

	constructor(parts: MeterParts) {
		this.#parts = parts;
		this.#tickedAt = parts.clock.now();
		parts.timers.repeat(OFFER_MS, now => {
			this.#notePause(now);
			this.#tickedAt = now;
			for (const [address, samples] of this.#samples) {
				parts.onPending(address, samples);
			}
		});
	}

	/** Returns the options of an attempt with callbacks that measure it. */
	measure(options: AttemptOptions): AttemptOptions {
		let isStream = false;
		let lastAt: number | undefined;
		const {events} = options;
		return {
			...options,
			events: {
				...events,
				onHead(answer) {
					isStream = answer.statusCode === HTTP_OK && isEventStream(answer.headers['content-type'] ?? '');
					return events.onHead(answer);
				},
				onData: chunk => {
					const count = isStream ? getEventCount(chunk) : 0;
					if (count > 0) {
						const now = this.#parts.clock.now();
						this.#note(options, {count, lastAt, now});
						lastAt = now;
					}

					events.onData(chunk);
				},
			},
		};
	}

	/** Returns the samples of the engine at an address and begins anew; undefined if there are none. */
	take(address: string): SpeedSamples | undefined {
		const samples = this.#samples.get(address);
		this.#samples.delete(address);
		return samples;
	}

	/** Forgets the samples of engines at other addresses than these. */
	retain(addresses: ReadonlySet<string>): void {
		for (const address of this.#samples.keys()) {
			if (!addresses.has(address)) {
				this.#samples.delete(address);
			}
		}
	}

	#note({address, upstreamId, startedAt}: AttemptOptions, {count, lastAt, now}: {readonly count: number; readonly lastAt: number | undefined; readonly now: number}): void {
		this.#notePause(now);
		if ((lastAt ?? startedAt) < this.#resumedAt) {
			return;
		}

		const samples = this.#get(address, upstreamId);
		if (lastAt === undefined) {
			samples.firstEventMs += now - startedAt;
			samples.firstEvents += 1;
		} else {
			samples.gapMs += now - lastAt;
			samples.gaps += count;
		}
	}

	/** Called for data too, because data that arrived during a pause is read before the timers run. */
	#notePause(now: number): void {
		if (now - this.#tickedAt > MAX_TICK_MS) {
			this.#resumedAt = now;
		}
	}

	#get(address: string, upstreamId: string): SpeedSamples {
		const known = this.#samples.get(address);
		if (known?.upstreamId === upstreamId) {
			return known;
		}

		const samples = create(SpeedSamplesSchema, {upstreamId});
		this.#samples.set(address, samples);
		return samples;
	}
}
