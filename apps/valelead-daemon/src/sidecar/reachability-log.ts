import type {Logger} from 'pino';

/** Logs when an engine is lost and when it answers again. */
export class ReachabilityLog {
	readonly #logger: Logger;
	#isReachable = true;

	constructor(logger: Logger) {
		this.#logger = logger;
	}

	/** @param reason - Why the engine was not reached, or empty. */
	note(isReachable: boolean, upstreamId: string, reason: string): void {
		if (this.#isReachable === isReachable) {
			return;
		}

		this.#isReachable = isReachable;
		this.#logger.info({event: isReachable ? 'engine-reached' : 'engine-lost', upstreamId, reason}, isReachable ? 'engine answers again' : 'engine does not answer');
	}
}
