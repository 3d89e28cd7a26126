import type {Clock, TimerService} from '@valelead/common';
import {UPSTREAM_STATE} from '@valelead/discovery';
import {
	type LeaseCandidate,
	type LeaseSettings,
	type LeaseState,
	type OrderLease,
	ORDER_LEASE_MS,
	getHoldersKnownInMs,
	getVmLeases,
	getSidecarDelayMs,
	mutateEndedLease,
	mutateLeases,
	mutateRenewedLeases,
	newLeaseState,
} from '@valelead/order-lease';
import type {FollowerReport, HeldLease} from '@valelead/protocol';
import type {Logger} from 'pino';
import type {UpstreamRegistry} from './upstream-registry.js';
import type {Voter} from './voter.js';

type LeasesParts = {
	readonly voter: Voter;
	readonly registry: UpstreamRegistry;
	/** Returns the services whose upstreams are engines that accept load and unload orders. */
	readonly getEngineServices: () => ReadonlySet<string>;
	readonly settings: LeaseSettings;
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Interval at which expired leases are granted again, in milliseconds: well below the length of a lease. */
const CHECK_MS = 250;

/** Grants leases on engines without a sidecar to processes that manage these engines. Active while this voter is the leader. */
export class OrderLeases {
	readonly #parts: LeasesParts;
	/** Processes that can hold leases, by VM, with the address at which gateways reach each process. */
	readonly #candidates = new Map<string, LeaseCandidate & {readonly keeperAddress: string}>();
	#state: LeaseState | undefined;

	constructor(parts: LeasesParts) {
		this.#parts = parts;
	}

	start(): void {
		this.#parts.timers.repeat(CHECK_MS, () => {
			this.#renewLeases();
		});
	}

	/**
	 * Processes the engines, ended leases and held leases in a follower's report.
	 * @param attendedEngines - Addresses of all engines whose sidecars the follower has named in its session.
	 */
	note(report: FollowerReport, attendedEngines: Iterable<string>): void {
		const state = this.#getState();
		if (!state) {
			return;
		}

		for (const address of attendedEngines) {
			this.#noteSidecar(state, address);
		}

		for (const {engineAddress, agoMs} of report.endedLeases) {
			mutateEndedLease(state, engineAddress, this.#parts.clock.now() - agoMs);
		}

		if (report.keeperAddress !== '') {
			const candidate = {
				vm: report.vm,
				keeperAddress: report.keeperAddress,
				reportedAt: this.#parts.clock.now(),
				isStopping: report.isStopping,
				leases: report.leases.map(({engineAddress, fence, startsInMs}) => ({address: engineAddress, fence, startsInMs})),
			};
			this.#candidates.set(report.vm, candidate);
			// Renewed here and not in the next check, so that the reply to a holder's first report already confirms its leases.
			mutateRenewedLeases(state, candidate);
		}
	}

	/** Returns the leases of a VM in the form in which they are sent to it. */
	getGrants(vm: string): Array<Pick<HeldLease, 'engineAddress' | 'fence' | 'startsInMs'>> {
		const now = this.#parts.clock.now();
		const state = this.#getState();
		return state
			? getVmLeases(state, vm).map(({address, fence, startsAt}) => ({engineAddress: address, fence, startsInMs: Math.max(0, startsAt - now)}))
			: [];
	}

	/** Returns the VM whose process manages an engine in place of a sidecar; undefined if no process holds a lease on the engine. */
	getLeaseHolder(address: string): string | undefined {
		return this.#getState()?.leases.get(address)?.vm;
	}

	/** Returns the time for which the sidecars of these engines must not send orders, as other processes may still hold leases, in milliseconds. */
	getSidecarDelayMs(addresses: readonly string[]): number {
		const {clock, settings} = this.#parts;
		const state = this.#getState();
		return state ? Math.max(0, ...addresses.map(address => getSidecarDelayMs(state, settings, address, clock.now()))) : 0;
	}

	/** Time until all holders of leases granted by earlier leaders are known, in milliseconds. */
	get holdersKnownMs(): number {
		const state = this.#getState();
		return state ? getHoldersKnownInMs(state, this.#parts.clock.now()) : 0;
	}

	/** Number of engines without a sidecar and without a lease; 0 if this voter is not the leader. */
	get unattendedCount(): number {
		const state = this.#getState();
		const isUnattended = (address: string): boolean => !state!.enginesWithSidecar.has(address) && !state!.leases.has(address);
		return state ? [...this.#getEngineAddresses()].filter(address => isUnattended(address)).length : 0;
	}

	/** Returns the lease state of the current term; undefined if this voter is not the leader. Leases of earlier terms may have new holders. */
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

	#noteSidecar(state: LeaseState, address: string): void {
		if (state.enginesWithSidecar.has(address)) {
			return;
		}

		const lease = state.leases.get(address);
		if (lease) {
			this.#parts.logger.info({
				event: 'engine-lease-ended', address, holder: lease.vm, reason: 'sidecar',
			}, 'lease ended; the sidecar manages the engine');
		}

		state.enginesWithSidecar.add(address);
		this.#parts.registry.setManager(address, '');
	}

	#renewLeases(): void {
		const state = this.#getState();
		if (!state) {
			return;
		}

		const {registry, settings, clock} = this.#parts;
		const now = clock.now();
		this.#removeSilentCandidates(now);
		const granted = mutateLeases(state, settings, {addresses: this.#getEngineAddresses(), candidates: [...this.#candidates.values()]}, now);
		for (const lease of granted) {
			this.#logGranted(lease, now);
		}

		for (const {address, vm} of state.leases.values()) {
			registry.setManager(address, state.enginesWithSidecar.has(address) ? '' : this.#candidates.get(vm)?.keeperAddress ?? '');
		}
	}

	/** Removes processes whose last report is older than two lease times: all their leases have expired. */
	#removeSilentCandidates(now: number): void {
		for (const [vm, {reportedAt}] of this.#candidates) {
			if (now - reportedAt > 2 * ORDER_LEASE_MS) {
				this.#candidates.delete(vm);
			}
		}
	}

	/** Returns the addresses of all engines that accept orders. */
	#getEngineAddresses(): ReadonlySet<string> {
		const services = this.#parts.getEngineServices();
		const upstreams = [...this.#parts.registry.directory.entries.values()].map(entry => entry.upstream);
		return new Set(upstreams.filter(({service, state}) => services.has(service) && state !== UPSTREAM_STATE.Gone).map(({address}) => address));
	}

	#logGranted({address, vm, fence, startsAt}: OrderLease, now: number): void {
		this.#parts.logger.info({
			event: 'engine-lease-granted', address, holder: vm, fence, startsInMs: Math.round(startsAt - now),
		}, 'lease granted on an engine without a sidecar');
	}
}
