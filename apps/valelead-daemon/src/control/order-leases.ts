import type {Clock, TimerService} from '@valelead/common';
import {UPSTREAM_STATE} from '@valelead/discovery';
import {
	type LeaseCandidate,
	type LeaseSettings,
	type LeaseState,
	type OrderLease,
	ORDER_LEASE_MS,
	getHoldersKnownMs,
	getLeasesOf,
	getSidecarDelayMs,
	mutateEnded,
	mutateLeases,
	mutateRenewed,
	newLeaseState,
} from '@valelead/order-lease';
import type {FollowerReport, HeldLease} from '@valelead/protocol';
import type {Logger} from 'pino';
import type {UpstreamRegistry} from './upstream-registry.js';
import type {Voter} from './voter.js';

type LeasesParts = {
	readonly voter: Voter;
	readonly registry: UpstreamRegistry;
	/** Services whose upstreams take orders. */
	readonly getEngineServices: () => ReadonlySet<string>;
	readonly settings: LeaseSettings;
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** How often leases that ended are granted anew, in milliseconds: well below their length. */
const CHECK_MS = 250;

/** Grants engines without a sidecar to processes that give them their orders, while this voter leads. */
export class OrderLeases {
	readonly #parts: LeasesParts;
	/** Processes that can hold leases, by VM, with the address where gateways reach them. */
	readonly #candidates = new Map<string, LeaseCandidate & {readonly keeperAddress: string}>();
	#state: LeaseState | undefined;

	constructor(parts: LeasesParts) {
		this.#parts = parts;
	}

	start(): void {
		this.#parts.timers.repeat(CHECK_MS, () => {
			this.#check();
		});
	}

	/**
	 * Takes what a follower tells of engines.
	 * @param attendedEngines - All engines whose sidecars it has named in this session.
	 */
	note(report: FollowerReport, attendedEngines: Iterable<string>): void {
		const state = this.#getState();
		if (!state) {
			return;
		}

		for (const address of attendedEngines) {
			this.#noteAttended(state, address);
		}

		for (const {engineAddress, agoMs} of report.endedLeases) {
			mutateEnded(state, engineAddress, this.#parts.clock.now() - agoMs);
		}

		if (report.keeperAddress !== '') {
			const candidate = {
				vm: report.vm,
				keeperAddress: report.keeperAddress,
				heardAt: this.#parts.clock.now(),
				isStopping: report.isStopping,
				held: report.leases.map(({engineAddress, fence, startsInMs}) => ({address: engineAddress, fence, startsInMs})),
			};
			this.#candidates.set(report.vm, candidate);
			// At once, so that the reply to a holder's first report confirms what it holds.
			mutateRenewed(state, candidate);
		}
	}

	/** The leases of a VM, as it is told of them. */
	getGrants(vm: string): Array<Pick<HeldLease, 'engineAddress' | 'fence' | 'startsInMs'>> {
		const now = this.#parts.clock.now();
		const state = this.#getState();
		return state
			? getLeasesOf(state, vm).map(({address, fence, startsAt}) => ({engineAddress: address, fence, startsInMs: Math.max(0, startsAt - now)}))
			: [];
	}

	/** The VM whose process gives an engine its orders in place of a sidecar; undefined where none does. */
	getHolder(address: string): string | undefined {
		return this.#getState()?.leases.get(address)?.vm;
	}

	/** How long the sidecars of these engines leave them to others, in milliseconds. */
	getSidecarDelayMs(addresses: readonly string[]): number {
		const {clock, settings} = this.#parts;
		const state = this.#getState();
		return state ? Math.max(0, ...addresses.map(address => getSidecarDelayMs(state, settings, address, clock.now()))) : 0;
	}

	/** Until it is known who held leases of earlier leaders, in milliseconds. */
	get holdersKnownMs(): number {
		const state = this.#getState();
		return state ? getHoldersKnownMs(state, this.#parts.clock.now()) : 0;
	}

	/** Engines that no sidecar attends to and nobody holds a lease on; 0 where this voter does not lead. */
	get unattendedCount(): number {
		const state = this.#getState();
		const isUnattended = (address: string): boolean => !state!.attended.has(address) && !state!.leases.has(address);
		return state ? [...this.#getEngines()].filter(address => isUnattended(address)).length : 0;
	}

	/** What is known since this voter leads; an earlier leadership's leases may have been granted to others since. */
	#getState(): LeaseState | undefined {
		const {node} = this.#parts.voter;
		if (!node?.isCurrentLeader) {
			return undefined;
		}

		if (this.#state?.term !== node.term) {
			this.#candidates.clear();
			this.#state = newLeaseState(node.term, this.#parts.clock.now());
		}

		return this.#state;
	}

	#noteAttended(state: LeaseState, address: string): void {
		if (state.attended.has(address)) {
			return;
		}

		const lease = state.leases.get(address);
		if (lease) {
			this.#parts.logger.info({
				event: 'engine-lease-ended', address, holder: lease.vm, reason: 'sidecar',
			}, 'an engine is left to its sidecar');
		}

		state.attended.add(address);
		this.#parts.registry.setKeeper(address, '');
	}

	#check(): void {
		const state = this.#getState();
		if (!state) {
			return;
		}

		const {registry, settings, clock} = this.#parts;
		const now = clock.now();
		this.#dropSilent(now);
		const granted = mutateLeases(state, settings, {addresses: this.#getEngines(), candidates: [...this.#candidates.values()]}, now);
		for (const lease of granted) {
			this.#log(lease, now);
		}

		for (const {address, vm} of state.leases.values()) {
			registry.setKeeper(address, state.attended.has(address) ? '' : this.#candidates.get(vm)?.keeperAddress ?? '');
		}
	}

	/** A process that is silent for long holds nothing any more. */
	#dropSilent(now: number): void {
		for (const [vm, {heardAt}] of this.#candidates) {
			if (now - heardAt > 2 * ORDER_LEASE_MS) {
				this.#candidates.delete(vm);
			}
		}
	}

	/** The addresses of engines that take orders. */
	#getEngines(): ReadonlySet<string> {
		const services = this.#parts.getEngineServices();
		const upstreams = [...this.#parts.registry.directory.entries.values()].map(entry => entry.upstream);
		return new Set(upstreams.filter(({service, state}) => services.has(service) && state !== UPSTREAM_STATE.Gone).map(({address}) => address));
	}

	#log({address, vm, fence, startsAt}: OrderLease, now: number): void {
		this.#parts.logger.info({
			event: 'engine-lease-granted', address, holder: vm, fence, startsInMs: Math.round(startsAt - now),
		}, 'an engine without a sidecar is given to a process');
	}
}
