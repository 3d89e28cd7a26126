import type {Clock, TimerService} from '@valelead/common';
import {afterEventLoopIterations} from './after-event-loop-iterations.js';

/** The interval between two checks of the clock, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/** A gap between two checks that counts as a stall, in milliseconds. A crashed upstream takes longer than this to listen again. */
const STALL_MS = 200;

/**
 * Between two checks the process reads everything that is buffered in its sockets. A broken connection may become visible one event-loop iteration
 * after its last data.
 */
const CHECKS_TO_CATCH_UP = 3;

/** Event-loop iterations in which pending socket data is read: one for the data of a connection, one for its end. */
const ITERATIONS_TO_READ = 2;

/** Detects that the process was suspended or got no processor time, so that the input it reads afterwards may be stale. */
export class StallWatch {
	readonly #clock: Clock;
	readonly #onStall: (stalledMs: number) => void;
	readonly #onRead: () => void;
	#lastCheckAt: number;
	/** When the input that arrived during the last stall had been read. */
	#lastReadAt = Number.NEGATIVE_INFINITY;
	#checksSinceStall = CHECKS_TO_CATCH_UP;
	/** Number of stalls whose pending input is being read. */
	#unreadStalls = 0;

	/**
	 * @param onStall - Called when the process continues after a stall, with the length of the stall in milliseconds.
	 * @param onRead - Called once the input that arrived during a stall has been read.
	 */
	constructor(clock: Clock, timers: TimerService, onStall: (stalledMs: number) => void = () => undefined, onRead: () => void = () => undefined) {
		this.#clock = clock;
		this.#onStall = onStall;
		this.#onRead = onRead;
		this.#lastCheckAt = clock.now();
		timers.repeat(CHECK_INTERVAL_MS, () => {
			this.#check();
		});
	}

	/** True if input that the process reads now may have been waiting in its sockets since a stall. */
	get isStalled(): boolean {
		return this.#checksSinceStall < CHECKS_TO_CATCH_UP || this.#hasGap;
	}

	/** True if input that arrived during a stall may not have been read yet: timers fire before sockets are read. */
	get isInputUnread(): boolean {
		return this.#unreadStalls > 0 || (this.#hasGap && this.#clock.now() - this.#lastReadAt > STALL_MS);
	}

	/** Calls back once the input that is pending now has been read. */
	onceRead(callback: () => void): void {
		afterEventLoopIterations(ITERATIONS_TO_READ, callback);
	}

	get #hasGap(): boolean {
		return this.#clock.now() - this.#lastCheckAt > STALL_MS;
	}

	#check(): void {
		const now = this.#clock.now();
		if (this.#hasGap) {
			this.#checksSinceStall = 0;
			this.#unreadStalls += 1;
			this.onceRead(() => {
				this.#unreadStalls -= 1;
				this.#lastReadAt = this.#clock.now();
				this.#onRead();
			});
			this.#onStall(now - this.#lastCheckAt);
		} else {
			this.#checksSinceStall += 1;
		}

		this.#lastCheckAt = now;
	}
}
