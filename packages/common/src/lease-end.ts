import type {Clock} from './clock.js';
import type {SuspensionWatch} from './suspension-watch.js';

type LeaseOptions = {
	readonly clock: Clock;
	/** Tells when the process was last suspended, and for how long in all. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	/** How long a confirmation is good for after it was asked for, in milliseconds. */
	readonly lengthMs: number;
};

/** Until when this process may do what another one confirms from time to time, by a time that goes on in suspensions. */
export class LeaseEnd {
	readonly #options: LeaseOptions;
	#endMs = Number.NEGATIVE_INFINITY;

	constructor(options: LeaseOptions) {
		this.#options = options;
	}

	/**
	 * Takes a confirmation; returns whether it counts.
	 * @param requestedAt - When this process asked for it, in monotonic milliseconds; one from before a suspension does not count, as nobody knows how long
	 * ago that is.
	 */
	confirm(requestedAt: number): boolean {
		const {suspensions, lengthMs} = this.#options;
		if (suspensions.resumedAt >= requestedAt) {
			return false;
		}

		this.#endMs = requestedAt + suspensions.lostMs + lengthMs;
		return true;
	}

	/** The end on the monotonic clock, if the process is not suspended again. */
	get at(): number {
		return this.#endMs - this.#options.suspensions.lostMs;
	}

	get isOver(): boolean {
		return this.#options.clock.now() >= this.at;
	}
}
