import type {Clock} from './clock.js';
import {SYSTEM_TIMEOUT_SCHEDULER} from './system-timeout-scheduler.js';
import type {TimerSubscription} from './timer-subscription.js';
import type {TimeoutScheduler} from './timeout-scheduler.js';

type Subscriber = {
	readonly periodMs: number | undefined;
	readonly callback: (now: number) => void;
	dueAt: number;
	isCancelled: boolean;
};

const MAX_WAIT_MS = 1000;

/** Provides all timer events of a process. Components subscribe to it instead of setting their own timers. */
export class TimerService {
	readonly #clock: Clock;
	readonly #scheduler: TimeoutScheduler;
	readonly #subscribers = new Set<Subscriber>();
	#timeoutHandle: unknown;
	#nextWakeupAt = Number.POSITIVE_INFINITY;
	#isStopped = false;

	constructor(clock: Clock, scheduler: TimeoutScheduler = SYSTEM_TIMEOUT_SCHEDULER) {
		this.#clock = clock;
		this.#scheduler = scheduler;
	}

	/** Calls the callback every `periodMs` milliseconds. */
	repeat(periodMs: number, callback: (now: number) => void): TimerSubscription {
		return this.#subscribe(periodMs, periodMs, callback);
	}

	/** Calls the callback once after `delayMs` milliseconds. */
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
		this.#scheduler.clear(this.#timeoutHandle);
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
		if (this.#isStopped || dueAt >= this.#nextWakeupAt) {
			return;
		}

		this.#scheduler.clear(this.#timeoutHandle);
		this.#nextWakeupAt = dueAt;
		const waitMs = Math.min(Math.max(0, dueAt - this.#clock.now()), MAX_WAIT_MS);
		this.#timeoutHandle = this.#scheduler.set(() => {
			this.#runDue();
		}, waitMs);
	}

	#runDue(): void {
		const now = this.#clock.now();
		this.#nextWakeupAt = Number.POSITIVE_INFINITY;
		for (const subscriber of this.#subscribers) {
			this.#runIfDue(subscriber, now);
		}

		let nextAt = Number.POSITIVE_INFINITY;
		for (const subscriber of this.#subscribers) {
			nextAt = Math.min(nextAt, subscriber.dueAt);
		}

		if (nextAt < Number.POSITIVE_INFINITY) {
			this.#schedule(nextAt);
		}
	}

	#runIfDue(subscriber: Subscriber, now: number): void {
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
