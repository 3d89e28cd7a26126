import type {VirtualTime} from './virtual-time.js';

/** A process that can freeze, thaw and crash. What reaches it while frozen waits; a crash ends all that waits. */
export class VirtualProcess {
	isUp = true;
	isFrozen = false;
	/** New at each start. */
	run = 1;
	readonly #time: VirtualTime;
	#inbox: Array<() => void> = [];

	constructor(time: VirtualTime) {
		this.#time = time;
	}

	/** Runs now, when thawed, or never if the process ends first. */
	take(action: () => void): void {
		if (!this.isUp) {
			return;
		}

		if (this.isFrozen) {
			this.#inbox.push(action);
			return;
		}

		action();
	}

	/** Runs after a delay, in this run of the process alone. */
	after(delayMs: number, action: () => void): void {
		const {run} = this;
		this.#time.after(delayMs, () => {
			if (run === this.run) {
				this.take(action);
			}
		});
	}

	freeze(): void {
		this.isFrozen = this.isUp;
	}

	thaw(): void {
		this.isFrozen = false;
		const inbox = this.#inbox;
		this.#inbox = [];
		for (const action of inbox) {
			this.take(action);
		}
	}

	crash(): void {
		this.isUp = false;
		this.isFrozen = false;
		this.#inbox = [];
	}

	restart(): void {
		this.run += 1;
		this.isUp = true;
	}
}
