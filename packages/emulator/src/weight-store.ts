import type {VirtualClock} from './virtual-clock.js';

/** The store from which all engines fetch weights. Beyond a number of concurrent loads, each load is slowed down in proportion to their number. */
export class WeightStore {
	readonly #clock: VirtualClock;
	readonly #fullSpeedLoads: number;
	#activeLoads = 0;

	/** @param fullSpeedLoads - Maximum number of concurrent loads that are not slowed down. */
	constructor(clock: VirtualClock, fullSpeedLoads: number) {
		this.#clock = clock;
		this.#fullSpeedLoads = fullSpeedLoads;
	}

	/** Fetches weights. The number of concurrent loads at the start of the fetch determines its slowdown. */
	fetch(loadMs: number, onEnd: () => void): void {
		this.#activeLoads += 1;
		this.#clock.schedule(loadMs * Math.max(1, this.#activeLoads / this.#fullSpeedLoads), () => {
			this.#activeLoads -= 1;
			onEnd();
		});
	}
}
