/** An LRU cache of weights in host memory or on disk. Sizes are in megabytes. */
export class WeightCopies {
	readonly #capacity: number;
	/** Sizes of the copies by model, from the least to the most recently used. */
	readonly #sizes = new Map<string, number>();

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	get names(): string[] {
		return [...this.#sizes.keys()];
	}

	has(name: string): boolean {
		return this.#sizes.has(name);
	}

	/** Adds a copy or marks it as most recently used, and evicts the least recently used copies that exceed the capacity. */
	use(name: string, size: number): void {
		this.#sizes.delete(name);
		this.#sizes.set(name, size);
		let used = [...this.#sizes.values()].reduce((sum, other) => sum + other, 0);
		for (const [oldest, oldestSize] of this.#sizes) {
			if (used <= this.#capacity) {
				return;
			}

			this.#sizes.delete(oldest);
			used -= oldestSize;
		}
	}
}
