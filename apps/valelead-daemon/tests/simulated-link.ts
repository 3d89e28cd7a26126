import type {VirtualProcess} from '../../../tests/support/virtual-process.js';
import type {VirtualTime} from '../../../tests/support/virtual-time.js';

/** One direction of a connection between two simulated processes. It delays messages but neither loses nor reorders them. */
export class SimulatedLink {
	readonly #time: VirtualTime;
	readonly #to: VirtualProcess;
	readonly #getDelayMs: () => number;
	#lastAt = 0;

	constructor(time: VirtualTime, to: VirtualProcess, getDelayMs: () => number) {
		this.#time = time;
		this.#to = to;
		this.#getDelayMs = getDelayMs;
	}

	send(deliver: () => void): void {
		this.#lastAt = Math.max(this.#lastAt, this.#time.now + this.#getDelayMs());
		this.#time.after(this.#lastAt - this.#time.now, () => {
			this.#to.take(deliver);
		});
	}
}
