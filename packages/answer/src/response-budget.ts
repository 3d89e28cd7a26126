/** Counts the bytes that are held for responses in progress against one limit, and names the holder to end once they exceed it. */
export class ResponseBudget<Holder> {
	readonly #maxBytes: number;
	readonly #held = new Map<Holder, number>();
	#totalBytes = 0;

	/** @param maxBytes - The most bytes that all holders together may hold. */
	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	get totalBytes(): number {
		return this.#totalBytes;
	}

	/** The holders that hold at least one byte. */
	get holders(): Iterable<Holder> {
		return this.#held.keys();
	}

	/**
	 * Sets the bytes that a holder holds now. Returns the holder of most bytes if all together exceed the limit, or undefined. Ending the largest frees
	 * most memory for the fewest requests, and a response without end is soon the largest.
	 */
	set(holder: Holder, bytes: number): Holder | undefined {
		this.#totalBytes += bytes - (this.#held.get(holder) ?? 0);
		if (bytes === 0) {
			this.#held.delete(holder);
		} else {
			this.#held.set(holder, bytes);
		}

		return this.#totalBytes > this.#maxBytes ? this.#getLargest() : undefined;
	}

	#getLargest(): Holder | undefined {
		let largest: Holder | undefined;
		let largestBytes = 0;
		for (const [holder, bytes] of this.#held) {
			if (bytes > largestBytes) {
				largest = holder;
				largestBytes = bytes;
			}
		}

		return largest;
	}
}
