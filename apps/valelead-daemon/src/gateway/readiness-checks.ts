/** Counts the readiness checks of the load balancer. */
export class ReadinessChecks {
	#passedCount = 0;
	/** Checks that failed since the last one that passed. */
	#failedCount = 0;

	/** Number of checks that the balancer has seen fail since the last one that passed. */
	get failedCount(): number {
		return this.#failedCount;
	}

	/** True if a balancer has seen this process ready. */
	get hasPassed(): boolean {
		return this.#passedCount > 0;
	}

	note(isReady: boolean): void {
		this.#passedCount += isReady ? 1 : 0;
		this.#failedCount = isReady ? 0 : this.#failedCount + 1;
	}
}
