import {RESULT_CODE, type TimerService, ValeleadError} from '@valelead/common';
import {
	type RouteService, type RouteTable, type Routing, getMovedServices, getRouteKey, getStreamServices, newRouteTable,
} from '@valelead/routing';
import type {OriginEntry, RouteChange} from '@valelead/stream-origin';
import type {Logger} from 'pino';
import {RetainedRegister} from './retained-register.js';
import type {RouteLog} from './route-log.js';

type ServicesParts = {
	readonly voter: RouteLog;
	/** Returns the routing that this voter has applied; undefined before the first one. */
	readonly getRouting: () => Routing | undefined;
	readonly timers: TimerService;
	readonly logger: Logger;
};

type ProposedRouting = {
	readonly table: RouteTable;
	/** The entries that were registered before the routing was proposed. */
	readonly moved: readonly RouteService[];
};

/** Interval at which a leader checks whether its state has caught up with the log, and the number of checks. */
const CATCH_UP_CHECK_MS = 10;
const MAX_CATCH_UP_CHECKS = 200;

/**
 * Registers the services to which routes of streams led before they were moved. The services of a route are committed before the routing that moves it, so
 * the register holds every service at which a stream of the route can have begun lately. Runs on the leader.
 */
export class RouteServices {
	readonly #parts: ServicesParts;
	readonly #register: RetainedRegister;
	/** Routings of this term that may be committed and were not applied yet when they were proposed. */
	#proposed: ProposedRouting[] = [];
	#term = -1;

	constructor(parts: ServicesParts) {
		this.#parts = parts;
		this.#register = new RetainedRegister({
			...parts,
			getRegister: () => parts.voter.machine.routes,
			getPresent: () => this.#getPresent(),
			change: async (kind, {name, value}) => this.#change({kind, route: name, service: value}),
		});
	}

	start(): void {
		this.#register.start();
	}

	/** Resolves once the routing may be committed. Throws NotLeader if the state of this voter stays behind the log. */
	async register(routing: Routing): Promise<void> {
		await this.#waitForState();
		const {voter, getRouting} = this.#parts;
		const current = getRouting();
		const table = newRouteTable(routing);
		const proposed = this.#getUnapplied();
		const earlier = [...(current ? [newRouteTable(current)] : []), ...proposed.map(other => other.table)];
		const moved = getMovedServices(earlier, table, voter.machine.routes);
		this.#proposed = [...proposed, {table, moved}];
		await Promise.all(moved.map(async ({route, service}) => this.#register.add({name: route, value: service})));
	}

	/** Returns true if every stream of a route began at a service; undefined if this voter cannot tell. */
	isSole(route: string, service: string): boolean | undefined {
		const {node, machine} = this.#parts.voter;
		return node?.canRead ? [...machine.routes.get(route) ?? []].every(other => other === service) : undefined;
	}

	/** Entries of routings that may be committed count as present, so that none is removed while its routing is on its way through the log. */
	#getPresent(): OriginEntry[] {
		const routes = this.#parts.getRouting()?.routes ?? [];
		const present = routes.flatMap(route => getStreamServices(route).map(value => ({name: getRouteKey(route), value})));
		return [...present, ...this.#getUnapplied().flatMap(({moved}) => moved.map(({route, service}) => ({name: route, value: service})))];
	}

	#getUnapplied(): ProposedRouting[] {
		const term = this.#parts.voter.node?.term ?? 0;
		if (term !== this.#term) {
			this.#term = term;
			this.#proposed = [];
		}

		const version = this.#parts.getRouting()?.version ?? 0;
		return this.#proposed.filter(({table}) => table.routing.version > version);
	}

	async #waitForState(): Promise<void> {
		for (let check = 0; !this.#parts.voter.node?.canRead; check += 1) {
			if (check === MAX_CATCH_UP_CHECKS) {
				throw new ValeleadError('This voter cannot be sure of the newest configuration', {code: RESULT_CODE.NotLeader});
			}

			await this.#parts.timers.wait(CATCH_UP_CHECK_MS);
		}
	}

	async #change(change: RouteChange): Promise<void> {
		await this.#parts.voter.changeRoutes(change);
		this.#parts.logger.info({event: 'route-services', ...change}, 'services of a route of streams changed');
	}
}
