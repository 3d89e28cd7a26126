import process from 'node:process';
import type {Clock, TimeoutScheduler} from '@valelead/common';

type Timer = {
	readonly dueAt: number;
	readonly order: number;
	readonly run: () => void;
	isCancelled: boolean;
};

const isBefore = (left: Timer, right: Timer): boolean => left.dueAt === right.dueAt ? left.order < right.order : left.dueAt < right.dueAt;

/** The event loop takes its turn after this many callbacks, so that timers, sockets and signals are served during a long run. */
const CALLBACKS_PER_TURN = 64;

/**
 * Resolves after the continuations of all promises that are already settled have run. The queue of `nextTick` is served once that of the promises is
 * empty; a whole turn of the event loop after each callback takes a tenth of the processor time of a simulation.
 */
const flushPromises = async (): Promise<void> => new Promise(resolve => {
	process.nextTick(resolve);
});

const runEventLoop = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

/** A simulated clock, in milliseconds. Time advances only when `runUntil` runs the scheduled callbacks, from one due time to the next. */
export class VirtualClock implements Clock, TimeoutScheduler {
	/** Binary min-heap of the scheduled callbacks, ordered by due time and then by order of scheduling. */
	readonly #heap: Timer[] = [];
	#now = 0;
	#order = 0;
	#callbacks = 0;

	readonly now = (): number => this.#now;
	readonly wallNow = (): number => this.#now;

	/** Schedules a callback after a delay. Callbacks that are due at the same time run in the order in which they were scheduled. */
	schedule(delayMs: number, run: () => void): Timer {
		this.#order += 1;
		const scheduled = {
			dueAt: this.#now + Math.max(0, delayMs), order: this.#order, run, isCancelled: false,
		};
		this.#heap.push(scheduled);
		this.#siftUp(this.#heap.length - 1);
		return scheduled;
	}

	set(run: () => void, delayMs: number): Timer {
		return this.schedule(delayMs, run);
	}

	clear(handle: unknown): void {
		if (handle) {
			(handle as Timer).isCancelled = true;
		}
	}

	/** Runs all callbacks that are due up to and including a time, and then sets the clock to that time. */
	async runUntil(endsAt: number): Promise<void> {
		for (let next = this.#takeDue(endsAt); next; next = this.#takeDue(endsAt)) {
			this.#now = next.dueAt;
			if (!next.isCancelled) {
				next.run();
				this.#callbacks += 1;
				await (this.#callbacks % CALLBACKS_PER_TURN === 0 ? runEventLoop() : flushPromises());
			}
		}

		this.#now = endsAt;
	}

	#takeDue(endsAt: number): Timer | undefined {
		const [first] = this.#heap;
		if (!first || first.dueAt > endsAt) {
			return undefined;
		}

		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#siftDown();
		}

		return first;
	}

	#siftUp(start: number): void {
		let index = start;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(this.#heap[index], this.#heap[parent])) {
				return;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	#siftDown(): void {
		let index = 0;
		while (true) {
			const left = (2 * index) + 1;
			const right = left + 1;
			let first = index;
			if (left < this.#heap.length && isBefore(this.#heap[left], this.#heap[first])) {
				first = left;
			}

			if (right < this.#heap.length && isBefore(this.#heap[right], this.#heap[first])) {
				first = right;
			}

			if (first === index) {
				return;
			}

			this.#swap(index, first);
			index = first;
		}
	}

	#swap(left: number, right: number): void {
		[this.#heap[left], this.#heap[right]] = [this.#heap[right], this.#heap[left]];
	}
}
