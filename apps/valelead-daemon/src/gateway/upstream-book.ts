import {type Clock} from '@valelead/common';
import type {AdmissionEndpoint} from '@valelead/admission';
import {type Upstream, UPSTREAM_STATE} from '@valelead/discovery';
import type {EngineReport} from '@valelead/protocol';
import type {RouteTable} from '@valelead/routing';
import {EngineFleet} from './engine-fleet.js';
import {UpstreamPool} from './upstream-pool.js';
import type {EngineView} from './engine-view.js';
import type {UpstreamAgent} from './upstream-agent.js';

type BookParts = {
	readonly clock: Clock;
	readonly getTable: () => RouteTable | undefined;
	readonly getGatewayCount: () => number;
	/** This gateway's own requests in progress at an upstream. */
	readonly getOwnCount: (upstreamId: string) => number;
};

/** An upstream that was silent in the directory counts as heard while it answered requests within this time, in milliseconds. */
const ANSWERED_MS = 3000;

/** The upstreams that a gateway knows, the connections to them, and when they last answered. */
export class UpstreamBook {
	readonly #parts: BookParts;
	readonly #fleet = new EngineFleet();
	readonly #pool = new UpstreamPool();
	readonly #answeredAt = new Map<string, number>();

	constructor(parts: BookParts) {
		this.#parts = parts;
	}

	get views(): ReadonlyMap<string, EngineView> {
		return this.#fleet.views;
	}

	get endpoints(): ReadonlyMap<string, readonly AdmissionEndpoint[]> {
		return this.#fleet.endpoints;
	}

	/** Takes all upstreams and returns those that are engines. */
	setUpstreams(upstreams: readonly Upstream[]): Upstream[] {
		const ids = new Set(upstreams.map(upstream => upstream.id));
		this.#fleet.setUpstreams(upstreams);
		this.#pool.retain(ids);
		for (const id of this.#answeredAt.keys()) {
			if (!ids.has(id)) {
				this.#answeredAt.delete(id);
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

	/** The connections to an upstream, limited to this gateway's share of what it accepts. */
	getAgent(upstreamId: string, service: string): UpstreamAgent {
		const maxConnections = this.#parts.getTable()?.services.get(service)?.maxConnections ?? 0;
		return this.#pool.get(upstreamId, Math.max(1, Math.floor(maxConnections / this.#parts.getGatewayCount())));
	}

	noteAnswer(upstreamId: string): void {
		this.#answeredAt.set(upstreamId, this.#parts.clock.now());
	}

	/** Whether the upstream announces itself, or answers requests all the same. */
	isHeard(upstreamId: string): boolean {
		const answeredAt = this.#answeredAt.get(upstreamId) ?? Number.NEGATIVE_INFINITY;
		return this.views.get(upstreamId)?.upstream.state === UPSTREAM_STATE.Ready || this.#parts.clock.now() - answeredAt < ANSWERED_MS;
	}

	close(): void {
		this.#pool.close();
	}
}
