import {type Clock, type TimerService, Coalescer} from '@valelead/common';
import {
	type EngineSpeed, getEngineSpeed, isSpeedChanged, mutateEngineSpeed, newSpeedState,
} from '@valelead/residency';
import type {SpeedSamples} from '@valelead/protocol';
import type {Logger} from 'pino';

type SpeedOptions = {
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Called when the speed changed so much that gateways must know it at once. */
	readonly onJump: () => void;
	/** Called after new samples, as long as the speed changes, if only by their age. */
	readonly onAged: () => void;
};

const UNKNOWN: EngineSpeed = {eventGapMs: 0, firstEventMs: 0};

/** A change below this ratio leaves the published speed as it is, so that the noise of the measurement sends no reports. */
const STEP_RATIO = 1.08;

/** A change by this ratio is published at once: it is beyond the noise, and an engine is typically slow for only about half a second. */
const JUMP_RATIO = 1.4;

/** The shortest time between two changes that are published at once, in milliseconds; bounds the reports if the measured speed fluctuates. */
const MIN_JUMP_INTERVAL_MS = 100;

/** The shortest time between two log lines of one engine, in milliseconds. */
const MIN_LOG_INTERVAL_MS = 1000;

/** Interval at which the speed is checked after new samples, in milliseconds, until it no longer changes with the age of the samples. */
const AGED_MS = 250;

const getRounded = ({eventGapMs, firstEventMs}: EngineSpeed): EngineSpeed => ({eventGapMs: Math.round(eventGapMs * 10) / 10, firstEventMs: Math.round(firstEventMs)});

/** The speed of one run of an engine, merged from the samples of all gateways. */
export class MeasuredSpeed {
	readonly #options: SpeedOptions;
	readonly #aging: Coalescer;
	#state = newSpeedState();
	#published = UNKNOWN;
	/** The speed at the last check of the samples' age. */
	#aged = UNKNOWN;
	/** The speed at the last change that was published at once, and the time of that change. */
	#jumped = UNKNOWN;
	#jumpedAt = Number.NEGATIVE_INFINITY;
	#loggedAt = Number.NEGATIVE_INFINITY;

	constructor(options: SpeedOptions) {
		this.#options = options;
		this.#aging = new Coalescer(options.timers, AGED_MS, () => {
			this.#checkAge();
		});
	}

	/** The speed to publish. It follows the measured speed in steps. */
	get published(): EngineSpeed {
		const speed = getEngineSpeed(this.#state, this.#options.clock.now());
		if (isSpeedChanged(this.#published.eventGapMs, speed.eventGapMs, STEP_RATIO)) {
			this.#published = getRounded(speed);
		}

		return this.#published;
	}

	/** Adds what a gateway has measured. Samples of another run than the engine's current one are ignored. */
	add(samples: SpeedSamples | undefined, runId: string): void {
		if (samples?.upstreamId !== runId) {
			return;
		}

		const now = this.#options.clock.now();
		mutateEngineSpeed(this.#state, samples, now);
		this.#aging.schedule();
		const speed = getEngineSpeed(this.#state, now);
		if (now - this.#jumpedAt >= MIN_JUMP_INTERVAL_MS && isSpeedChanged(this.#jumped.eventGapMs, speed.eventGapMs, JUMP_RATIO)) {
			this.#log(runId, speed, now);
			this.#jumped = speed;
			this.#jumpedAt = now;
			this.#options.onJump();
		}
	}

	/** Discards all samples, as they were taken from an earlier run of the engine. */
	reset(): void {
		this.#state = newSpeedState();
		this.#published = UNKNOWN;
		this.#jumped = UNKNOWN;
	}

	#checkAge(): void {
		const speed = getEngineSpeed(this.#state, this.#options.clock.now());
		if (isSpeedChanged(this.#aged.eventGapMs, speed.eventGapMs, STEP_RATIO)) {
			this.#aged = speed;
			this.#aging.schedule();
		}

		this.#options.onAged();
	}

	#log(upstreamId: string, speed: EngineSpeed, now: number): void {
		if (now - this.#loggedAt < MIN_LOG_INTERVAL_MS) {
			return;
		}

		this.#loggedAt = now;
		this.#options.logger.info({
			event: 'engine-speed', upstreamId, ...getRounded(speed), beforeMs: getRounded(this.#jumped).eventGapMs,
		}, 'the measured speed of the engine changed');
	}
}
