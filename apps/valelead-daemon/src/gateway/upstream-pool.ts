import {UpstreamAgent} from './upstream-agent.js';

/** HTTP agents of all upstreams, by run id: a new run at the same address gets new connections. */
export class UpstreamPool {
	readonly #agents = new Map<string, UpstreamAgent>();

	/** @param maxConnections - Connection limit of the upstream; it takes effect only when its agent is created. */
	get(upstreamId: string, maxConnections: number): UpstreamAgent {
		const existing = this.#agents.get(upstreamId);
		if (existing) {
			return existing;
		}

		const agent = new UpstreamAgent(maxConnections);
		this.#agents.set(upstreamId, agent);
		return agent;
	}

	/** Closes the connections to upstreams that are gone: idle ones at once, others after the requests that use them. */
	retain(upstreamIds: ReadonlySet<string>): void {
		for (const [id, agent] of this.#agents) {
			if (!upstreamIds.has(id)) {
				this.#closeIdle(agent);
				this.#agents.delete(id);
			}
		}
	}

	close(): void {
		for (const agent of this.#agents.values()) {
			agent.destroy();
		}

		this.#agents.clear();
	}

	#closeIdle(agent: UpstreamAgent): void {
		// A connection that becomes idle later would be kept open for requests that no longer come.
		agent.maxFreeSockets = 0;
		for (const socket of Object.values(agent.freeSockets).flat()) {
			socket?.destroy();
		}
	}
}
