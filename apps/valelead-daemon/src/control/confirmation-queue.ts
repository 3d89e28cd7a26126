import type {Clock, TimerService} from '@valelead/common';
import {isBehind} from './is-behind.js';
import type {FollowerSession} from './follower-session.js';
import type {Progress} from './progress.js';

type QueueParts = {
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly getSessions: () => Iterable<FollowerSession>;
	/** Returns how much longer an acknowledgement waits for gateways that have not reported to this leader yet, in milliseconds; 0 if none is missing. */
	readonly getMissingMs: () => number;
};

type Waiter = {
	readonly target: Progress;
	readonly resolve: () => void;
};

/** A follower that has sent no report for longer is not waited for, in milliseconds: two heartbeats. */
const FOLLOWER_SILENCE_MS = 1000;

/** Maximum time that an acknowledgement waits for the followers, in milliseconds. Callers treat one second without a response as a failure. */
const MAX_WAIT_MS = 300;

/** Holds back acknowledgements until all reachable followers have confirmed a state. */
export class ConfirmationQueue {
	readonly #parts: QueueParts;
	readonly #waiters = new Set<Waiter>();

	constructor(parts: QueueParts) {
		this.#parts = parts;
	}

	get isWaiting(): boolean {
		return this.#waiters.size > 0;
	}

	/** Resolves once every reachable follower has confirmed the target state, or after 300 ms; later if gateways are still to find a new leader. */
	async wait(target: Progress): Promise<void> {
		if (this.#isConfirmed(target)) {
			return;
		}

		return new Promise(resolve => {
			const waiter = {target, resolve};
			this.#waiters.add(waiter);
			this.#endAfter(MAX_WAIT_MS, waiter);
		});
	}

	/** Resolves the waits that have become unnecessary after a session has ended or confirmed a newer state. */
	resolve(): void {
		for (const waiter of this.#waiters) {
			if (this.#isConfirmed(waiter.target)) {
				this.#waiters.delete(waiter);
				waiter.resolve();
			}
		}
	}

	/** Ends a wait after a time, or once the last gateway is no longer expected. */
	#endAfter(delayMs: number, waiter: Waiter): void {
		this.#parts.timers.after(delayMs, () => {
			const missingMs = this.#parts.getMissingMs();
			if (missingMs > 0 && this.#waiters.has(waiter)) {
				this.#endAfter(missingMs, waiter);
				return;
			}

			this.#waiters.delete(waiter);
			waiter.resolve();
		});
	}

	#isConfirmed(target: Progress): boolean {
		const now = this.#parts.clock.now();
		return this.#parts.getMissingMs() === 0 && [...this.#parts.getSessions()].every(session => now - session.heardAt > FOLLOWER_SILENCE_MS || !isBehind(session.confirmed, target));
	}
}
