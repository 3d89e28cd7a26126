/** Copies of weights on one medium; the least recently used ones give way. Memory in megabytes. */
export class WeightCopies {
	readonly #capacity: number;
	/** From the least recently used to the most recently used. */
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

	/** Adds a copy, or notes its use. */
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
