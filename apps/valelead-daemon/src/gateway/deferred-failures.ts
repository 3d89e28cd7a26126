import type {Clock, TimerService} from '@valelead/common';

type FailedAttempt = {
	readonly runId: string;
	/** True if the upstream is already known to have crashed. */
	readonly isCrashed: boolean;
	/** Longest time for which the failure is deferred, in milliseconds. */
	readonly maxDeferMs: number;
	/**
	 * Set if the failure is deferred until every gateway applies the news of the crash. When the longest time has passed, it returns the time by which
	 * to extend it, in milliseconds; 0 or less for none.
	 */
	readonly getExtensionMs?: () => number;
};

type DeferredFailure = {
	readonly runId: string;
	/** When the crash was noted, in monotonic milliseconds; undefined until the upstream is known to have crashed. */
	crashedAt: number | undefined;
	/** True if the failure is deferred until every gateway applies the news of the crash, instead of until the reachable gateways know of it. */
	readonly isStrict: boolean;
	readonly release: (isAlive: boolean) => void;
};

/**
 * Defers the failures of attempts whose upstream was lost until the other gateways know which requests the crash makes suspect. A caller that sees
 * the failure may retry at any gateway, and each retry of a request that crashes upstreams puts another upstream at risk.
 */
export class DeferredFailures {
	readonly #timers: TimerService;
	readonly #clock: Clock;
	readonly #failures = new Set<DeferredFailure>();

	constructor(timers: TimerService, clock: Clock) {
		this.#timers = timers;
		this.#clock = clock;
	}

	/** @param release - Ends the deferral. `isAlive` is true if the upstream turned out to be alive, so that only its connections were lost. */
	defer({runId, isCrashed, maxDeferMs, getExtensionMs}: FailedAttempt, release: (isAlive: boolean) => void): void {
		const failure: DeferredFailure = {
			runId, crashedAt: isCrashed ? this.#clock.now() : undefined, isStrict: getExtensionMs !== undefined, release,
		};
		this.#failures.add(failure);
		this.#releaseAfter(failure, maxDeferMs, getExtensionMs);
	}

	/** Marks the deferred failures of an upstream run that has crashed. */
	markCrashed(runId: string): void {
		for (const failure of this.#failures) {
			if (failure.runId === runId) {
				failure.crashedAt ??= this.#clock.now();
			}
		}
	}

	/** Releases the failures of an upstream run that is alive: only its connections were lost. */
	releaseAlive(runId: string): void {
		for (const failure of this.#failures) {
			if (failure.runId === runId && failure.crashedAt === undefined) {
				this.#release(failure, true);
			}
		}
	}

	/** Releases failures once all reachable gateways know of the crashes noted until a time, in monotonic milliseconds. */
	releaseKnown(until: number): void {
		this.#releaseUntil(until, false);
	}

	/** Releases failures once no gateway can still dispatch without knowing of the crashes noted until a time, in monotonic milliseconds. */
	releaseApplied(until: number): void {
		this.#releaseUntil(until, true);
	}

	#releaseUntil(until: number, isApplied: boolean): void {
		for (const failure of this.#failures) {
			if (failure.crashedAt !== undefined && failure.crashedAt <= until && (isApplied || !failure.isStrict)) {
				this.#release(failure);
			}
		}
	}

	/**
	 * Releases a failure after a time. The time is extended if the leader has been reached again meanwhile, as it then waits longer for the other
	 * gateways.
	 */
	#releaseAfter(failure: DeferredFailure, ms: number, getMoreMs: () => number = () => 0): void {
		this.#timers.after(ms, () => {
			const moreMs = this.#failures.has(failure) ? getMoreMs() : 0;
			if (moreMs > 0) {
				this.#releaseAfter(failure, moreMs, getMoreMs);
			} else {
				this.#release(failure);
			}
		});
	}

	#release(failure: DeferredFailure, isAlive = false): void {
		if (this.#failures.delete(failure)) {
			failure.release(isAlive);
		}
	}
}
