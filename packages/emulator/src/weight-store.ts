import type {VirtualClock} from './virtual-clock.js';

/** The store that all engines fetch weights from: beyond some loads at once each one slows in proportion. */
export class WeightStore {
	readonly #clock: VirtualClock;
	readonly #fullSpeedLoads: number;
	#running = 0;

	/** @param fullSpeedLoads - Loads at once that are not slowed. */
	constructor(clock: VirtualClock, fullSpeedLoads: number) {
		this.#clock = clock;
		this.#fullSpeedLoads = fullSpeedLoads;
	}

	/** Fetches weights; the slow-down is that at the start of the load. */
	fetch(loadMs: number, onEnd: () => void): void {
		this.#running += 1;
		this.#clock.after(loadMs * Math.max(1, this.#running / this.#fullSpeedLoads), () => {
			this.#running -= 1;
			onEnd();
		});
	}
}
