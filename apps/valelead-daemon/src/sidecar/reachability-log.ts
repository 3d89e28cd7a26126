import type {Logger} from 'pino';

/** Logs when an engine becomes unreachable and when it responds again. */
export class ReachabilityLog {
	readonly #logger: Logger;
	#isReachable = true;

	constructor(logger: Logger) {
		this.#logger = logger;
	}

	/** @param reason - Why the engine could not be reached; empty if it responded. */
	note(isReachable: boolean, upstreamId: string, reason: string): void {
		if (this.#isReachable === isReachable) {
			return;
		}

		this.#isReachable = isReachable;
		this.#logger.info({event: isReachable ? 'engine-reached' : 'engine-lost', upstreamId, reason}, isReachable ? 'engine responds' : 'engine does not respond');
	}
}
