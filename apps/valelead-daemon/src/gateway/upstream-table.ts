import {type Clock} from '@valelead/common';
import type {AdmissionEndpoint} from '@valelead/admission';
import {type Upstream, UPSTREAM_STATE} from '@valelead/discovery';
import type {EngineReport} from '@valelead/protocol';
import type {RouteTable} from '@valelead/routing';
import {EngineFleet} from './engine-fleet.js';
import {UpstreamPool} from './upstream-pool.js';
import type {EngineView} from './engine-view.js';
import type {UpstreamAgent} from './upstream-agent.js';

type TableParts = {
	readonly clock: Clock;
	readonly getTable: () => RouteTable | undefined;
	readonly getGatewayCount: () => number;
	/** Returns the number of this gateway's own requests in progress at an upstream. */
	readonly getOwnCount: (upstreamId: string) => number;
};

/** An upstream whose announcements have ceased still counts as responsive for this time after its last response, in milliseconds. */
const RECENT_RESPONSE_MS = 3000;

/** Table of the upstreams that a gateway knows, with the connections to them and the time of their last response. */
export class UpstreamTable {
	readonly #parts: TableParts;
	readonly #fleet = new EngineFleet();
	readonly #pool = new UpstreamPool();
	readonly #respondedAt = new Map<string, number>();

	constructor(parts: TableParts) {
		this.#parts = parts;
	}

	get views(): ReadonlyMap<string, EngineView> {
		return this.#fleet.views;
	}

	get endpoints(): ReadonlyMap<string, readonly AdmissionEndpoint[]> {
		return this.#fleet.endpoints;
	}

	/** Replaces the set of known upstreams, and returns those that are engines. */
	setUpstreams(upstreams: readonly Upstream[]): Upstream[] {
		const ids = new Set(upstreams.map(upstream => upstream.id));
		this.#fleet.setUpstreams(upstreams);
		this.#pool.retain(ids);
		for (const id of this.#respondedAt.keys()) {
			if (!ids.has(id)) {
				this.#respondedAt.delete(id);
			}
		}

		const services = this.#parts.getTable()?.services;
		return upstreams.filter(upstream => services?.get(upstream.service)?.engine !== undefined);
	}

	setReport(address: string, report: EngineReport | undefined): void {
		this.#fleet.setReport(address, report);
	}

	refresh(table: RouteTable): void {
		this.#fleet.refresh(table, this.#parts.getGatewayCount(), this.#parts.getOwnCount);
	}

	/** Returns the agent for an upstream, limited to this gateway's share of the connections that the upstream accepts. */
	getAgent(upstreamId: string, service: string): UpstreamAgent {
		const maxConnections = this.#parts.getTable()?.services.get(service)?.maxConnections ?? 0;
		return this.#pool.get(upstreamId, Math.max(1, Math.floor(maxConnections / this.#parts.getGatewayCount())));
	}

	noteResponse(upstreamId: string): void {
		this.#respondedAt.set(upstreamId, this.#parts.clock.now());
	}

	/** Returns the time since the upstream last responded, in milliseconds; undefined if it never did. */
	getSilentMs(upstreamId: string): number | undefined {
		const respondedAt = this.#respondedAt.get(upstreamId);
		return respondedAt === undefined ? undefined : this.#parts.clock.now() - respondedAt;
	}

	/** True if the upstream still announces itself, or has responded to a request recently. */
	isResponsive(upstreamId: string): boolean {
		const silentMs = this.getSilentMs(upstreamId) ?? Number.POSITIVE_INFINITY;
		return this.views.get(upstreamId)?.upstream.state === UPSTREAM_STATE.Ready || silentMs < RECENT_RESPONSE_MS;
	}

	close(): void {
		this.#pool.close();
	}
}
