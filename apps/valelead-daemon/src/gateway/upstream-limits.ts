import type {Logger} from 'pino';

/** What upstreams say of how many requests a second they take from all gateways together. */
export class UpstreamLimits {
	readonly #logger: Logger;
	/** Requests a second, by run of the upstream. */
	readonly #limits = new Map<string, number>();

	constructor(logger: Logger) {
		this.#logger = logger;
	}

	get count(): number {
		return this.#limits.size;
	}

	/** @param perSecond - What the answer names; undefined where it names no limit. */
	noteAnswer(upstreamId: string, perSecond: number | undefined): void {
		const before = this.#limits.get(upstreamId);
		if (perSecond === before) {
			return;
		}

		if (perSecond === undefined) {
			this.#limits.delete(upstreamId);
		} else {
			this.#limits.set(upstreamId, perSecond);
		}

		this.#logger.info({
			event: 'upstream-limit', upstreamId, perSecond, before,
		}, 'an upstream names another limit');
	}

	/** Forgets upstreams that are gone. */
	retain(upstreamIds: ReadonlySet<string>): void {
		for (const id of this.#limits.keys()) {
			if (!upstreamIds.has(id)) {
				this.#limits.delete(id);
			}
		}
	}
}
