import type {Clock, TimerService} from '@valelead/common';
import {isBehind} from './is-behind.js';
import type {FollowerSession} from './follower-session.js';
import type {Progress} from './progress.js';

type QueueParts = {
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly getSessions: () => Iterable<FollowerSession>;
};

type Waiter = {
	readonly target: Progress;
	readonly resolve: () => void;
};

/** A follower that was silent for longer is not waited for, in milliseconds: two heartbeats. */
const FOLLOWER_SILENCE_MS = 1000;

/** How long an acknowledgement waits for the followers, in milliseconds. Callers take a second without one as a failure. */
const SETTLE_MS = 300;

/** Those who wait until all followers that are heard hold something. */
export class ConfirmationQueue {
	readonly #parts: QueueParts;
	readonly #waiters = new Set<Waiter>();

	constructor(parts: QueueParts) {
		this.#parts = parts;
	}

	get isWaiting(): boolean {
		return this.#waiters.size > 0;
	}

	/** Resolves once every follower that is heard holds the target, or after a short while. */
	async wait(target: Progress): Promise<void> {
		if (this.#isSettled(target)) {
			return;
		}

		return new Promise(resolve => {
			const waiter = {target, resolve};
			this.#waiters.add(waiter);
			this.#parts.timers.after(SETTLE_MS, () => {
				this.#waiters.delete(waiter);
				resolve();
			});
		});
	}

	/** Ends the waits that are over, as a session has ended or told more. */
	resolve(): void {
		for (const waiter of this.#waiters) {
			if (this.#isSettled(waiter.target)) {
				this.#waiters.delete(waiter);
				waiter.resolve();
			}
		}
	}

	#isSettled(target: Progress): boolean {
		const now = this.#parts.clock.now();
		return [...this.#parts.getSessions()].every(session => now - session.heardAt > FOLLOWER_SILENCE_MS || !isBehind(session.confirmed, target));
	}
}
