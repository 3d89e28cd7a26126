import {UpstreamAgent} from './upstream-agent.js';

/** Connections to all upstreams, by the id of their run: another run at the same address gets new connections. */
export class UpstreamPool {
	readonly #agents = new Map<string, UpstreamAgent>();

	/** @param maxConnections - Connections at most, when they are first asked for. */
	get(upstreamId: string, maxConnections: number): UpstreamAgent {
		const known = this.#agents.get(upstreamId);
		if (known) {
			return known;
		}

		const agent = new UpstreamAgent(maxConnections);
		this.#agents.set(upstreamId, agent);
		return agent;
	}

	/** Closes the idle connections to upstreams that are gone. Requests in progress keep theirs. */
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
		for (const socket of Object.values(agent.freeSockets).flat()) {
			socket?.destroy();
		}
	}
}
