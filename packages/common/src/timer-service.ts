import type {Clock} from './clock.js';
import {SYSTEM_WAKEUPS} from './system-wakeups.js';
import type {TimerSubscription} from './timer-subscription.js';
import type {Wakeups} from './wakeups.js';

type Subscriber = {
	readonly periodMs: number | undefined;
	readonly callback: (now: number) => void;
	dueAt: number;
	isCancelled: boolean;
};

const COARSEST_WAIT_MS = 1000;

/** The one source of time events of a process. Parts subscribe to it in place of setting timers of their own. */
export class TimerService {
	readonly #clock: Clock;
	readonly #wakeups: Wakeups;
	readonly #subscribers = new Set<Subscriber>();
	#handle: unknown;
	#wakesAt = Number.POSITIVE_INFINITY;
	#isStopped = false;

	constructor(clock: Clock, wakeups: Wakeups = SYSTEM_WAKEUPS) {
		this.#clock = clock;
		this.#wakeups = wakeups;
	}

	/** Calls back every `periodMs` milliseconds. */
	repeat(periodMs: number, callback: (now: number) => void): TimerSubscription {
		return this.#subscribe(periodMs, periodMs, callback);
	}

	/** Calls back once after `delayMs` milliseconds. */
	after(delayMs: number, callback: (now: number) => void): TimerSubscription {
		return this.#subscribe(delayMs, undefined, callback);
	}

	/** Resolves after `delayMs` milliseconds. */
	async wait(delayMs: number): Promise<void> {
		return new Promise(resolve => {
			this.after(delayMs, () => {
				resolve();
			});
		});
	}

	/** Ends all subscriptions. */
	stop(): void {
		this.#isStopped = true;
		this.#subscribers.clear();
		this.#wakeups.clear(this.#handle);
	}

	#subscribe(delayMs: number, periodMs: number | undefined, callback: (now: number) => void): TimerSubscription {
		const subscriber: Subscriber = {
			periodMs,
			callback,
			dueAt: this.#clock.now() + delayMs,
			isCancelled: false,
		};
		this.#subscribers.add(subscriber);
		this.#schedule(subscriber.dueAt);
		return {
			cancel: () => {
				subscriber.isCancelled = true;
				this.#subscribers.delete(subscriber);
			},
		};
	}

	#schedule(dueAt: number): void {
		if (this.#isStopped || dueAt >= this.#wakesAt) {
			return;
		}

		this.#wakeups.clear(this.#handle);
		this.#wakesAt = dueAt;
		const waitMs = Math.min(Math.max(0, dueAt - this.#clock.now()), COARSEST_WAIT_MS);
		this.#handle = this.#wakeups.set(() => {
			this.#wake();
		}, waitMs);
	}

	#wake(): void {
		const now = this.#clock.now();
		this.#wakesAt = Number.POSITIVE_INFINITY;
		for (const subscriber of this.#subscribers) {
			this.#fire(subscriber, now);
		}

		let nextAt = Number.POSITIVE_INFINITY;
		for (const subscriber of this.#subscribers) {
			nextAt = Math.min(nextAt, subscriber.dueAt);
		}

		if (nextAt < Number.POSITIVE_INFINITY) {
			this.#schedule(nextAt);
		}
	}

	#fire(subscriber: Subscriber, now: number): void {
		if (subscriber.isCancelled || subscriber.dueAt > now) {
			return;
		}

		if (subscriber.periodMs === undefined) {
			this.#subscribers.delete(subscriber);
		} else {
			subscriber.dueAt = now + subscriber.periodMs;
		}

		subscriber.callback(now);
	}
}
