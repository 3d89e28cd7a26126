import type {Clock} from './clock.js';
import type {SuspensionWatch} from './suspension-watch.js';

type LeaseOptions = {
	readonly clock: Clock;
	/** The time of the last suspension of the process and the total time of its suspensions. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	/** How long the lease lasts after its renewal was requested, in milliseconds. */
	readonly lengthMs: number;
};

/** A lease that another process renews by its confirmations. The lease also runs out while this process is suspended. */
export class Lease {
	readonly #options: LeaseOptions;
	#endMs = Number.NEGATIVE_INFINITY;

	constructor(options: LeaseOptions) {
		this.#options = options;
	}

	/**
	 * Renews the lease on a confirmation and returns true. If the confirmation was requested before the last suspension, its age is unknown: the lease
	 * stays as it is and the result is false.
	 * @param requestedAt - When this process requested the confirmation, in monotonic milliseconds.
	 */
	renew(requestedAt: number): boolean {
		const {suspensions, lengthMs} = this.#options;
		if (suspensions.resumedAt >= requestedAt) {
			return false;
		}

		this.#endMs = requestedAt + suspensions.lostMs + lengthMs;
		return true;
	}

	/** When the lease expires, in monotonic milliseconds, provided that the process is not suspended until then. */
	get expiresAt(): number {
		return this.#endMs - this.#options.suspensions.lostMs;
	}

	/** True if the lease has expired or was never granted. */
	get isExpired(): boolean {
		return this.#options.clock.now() >= this.expiresAt;
	}
}
