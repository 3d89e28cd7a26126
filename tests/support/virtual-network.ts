import type {VirtualTime} from './virtual-time.js';

/** A network that delays, drops, duplicates and reorders, and can be cut between two places. */
export class VirtualNetwork {
	lossShare = 0;
	duplicateShare = 0;
	delayMs = 5;
	readonly #time: VirtualTime;
	readonly #random: () => number;
	readonly #cuts = new Set<string>();

	constructor(time: VirtualTime, random: () => number) {
		this.#time = time;
		this.#random = random;
	}

	send(from: string, to: string, deliver: () => void): void {
		if (this.#cuts.has(`${from}>${to}`) || this.#random() < this.lossShare) {
			return;
		}

		const copies = this.#random() < this.duplicateShare ? 2 : 1;
		for (let copy = 0; copy < copies; copy += 1) {
			this.#time.after(this.#random() * this.delayMs, deliver);
		}
	}

	cut(from: string, to: string): void {
		this.#cuts.add(`${from}>${to}`);
	}

	makeLossy(delayMs: number): void {
		this.lossShare = 0.15;
		this.duplicateShare = 0.15;
		this.delayMs = delayMs;
	}

	heal(): void {
		this.#cuts.clear();
		this.lossShare = 0;
		this.duplicateShare = 0;
		this.delayMs = 5;
	}
}
