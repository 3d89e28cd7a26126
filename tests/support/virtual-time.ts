type Scheduled = {
	readonly dueAt: number;
	readonly order: number;
	readonly run: () => void;
};

/** Time that passes only when a test says so. */
export class VirtualTime {
	now = 0;
	#queue: Scheduled[] = [];
	#order = 0;

	after(delayMs: number, run: () => void): void {
		this.#order += 1;
		this.#queue.push({dueAt: this.now + delayMs, order: this.#order, run});
	}

	/** Runs what falls due, in order of time and then of scheduling. */
	advance(ms: number): void {
		const endsAt = this.now + ms;
		for (let next = this.#takeNext(endsAt); next; next = this.#takeNext(endsAt)) {
			this.now = Math.max(this.now, next.dueAt);
			next.run();
		}

		this.now = endsAt;
	}

	#takeNext(endsAt: number): Scheduled | undefined {
		let best: Scheduled | undefined;
		for (const scheduled of this.#queue) {
			const isBefore = !best || scheduled.dueAt < best.dueAt || (scheduled.dueAt === best.dueAt && scheduled.order < best.order);
			if (scheduled.dueAt <= endsAt && isBefore) {
				best = scheduled;
			}
		}

		this.#queue = this.#queue.filter(scheduled => scheduled !== best);
		return best;
	}
}
