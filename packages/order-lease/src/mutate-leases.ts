import {ORDER_LEASE_MS} from './order-lease-ms.js';
import {getNextHolderStartAt} from './get-next-holder-start-at.js';
import {mutateRenewedLeases} from './mutate-renewed-leases.js';
import type {LeaseCandidate} from './lease-candidate.js';
import type {LeaseSettings} from './lease-settings.js';
import type {LeaseState} from './lease-state.js';
import type {LeaseParticipants} from './lease-participants.js';
import type {OrderLease} from './order-lease.js';

/** A sidecar starts with its engine and reports to the leader within this time, in milliseconds. A process starts in up to about one second. */
const SIDECAR_START_MS = 3000;

/** The number of fencing tokens reserved for one term, so that those of the next term are higher. No leader grants as many leases in its term. */
const FENCES_PER_TERM = 65_536;

/**
 * Returns the candidate that holds the fewest leases; ties are broken by name. Candidates that are shutting down come last, as an engine
 * receives no orders between the end of its holder and the expiry of the lease.
 */
const getLeastLoadedCandidate = ({leases}: LeaseState, candidates: readonly LeaseCandidate[]): LeaseCandidate | undefined => {
	const counts = new Map<string, number>();
	for (const {vm} of leases.values()) {
		counts.set(vm, (counts.get(vm) ?? 0) + 1);
	}

	const getCount = ({vm}: LeaseCandidate): number => counts.get(vm) ?? 0;
	const [first] = candidates.toSorted((left, right) =>
		(Number(left.isStopping) - Number(right.isStopping)) || (getCount(left) - getCount(right)) || left.vm.localeCompare(right.vm));
	return first;
};

const newFence = (state: LeaseState): number => {
	state.grantedCount += 1;
	return (state.term * FENCES_PER_TERM) + state.grantedCount;
};

const mutateFirstSeen = ({firstSeenAt}: LeaseState, addresses: ReadonlySet<string>, now: number): void => {
	for (const address of addresses) {
		firstSeenAt.set(address, firstSeenAt.get(address) ?? now);
	}

	for (const address of firstSeenAt.keys()) {
		if (!addresses.has(address)) {
			firstSeenAt.delete(address);
		}
	}
};

/** Removes the leases of engines that are gone, once orders of the holder can no longer arrive. */
const mutateExpiredLeases = (state: LeaseState, settings: LeaseSettings, addresses: ReadonlySet<string>, now: number): void => {
	for (const address of state.leases.keys()) {
		if (!addresses.has(address) && now > getNextHolderStartAt(state, settings, address)) {
			state.leases.delete(address);
		}
	}
};

const mutateGrantedLease = (state: LeaseState, settings: LeaseSettings, address: string, candidates: readonly LeaseCandidate[], now: number): OrderLease | undefined => {
	const known = state.leases.get(address);
	const isHeld = known !== undefined && now - known.renewedAt < ORDER_LEASE_MS;
	// If no engine has a sidecar, a new engine gets a holder without waiting for a sidecar to start.
	const isAwaited = state.enginesWithSidecar.size > 0 && now - state.firstSeenAt.get(address)! < SIDECAR_START_MS;
	const isSettled = !isAwaited && now - state.startedAt >= SIDECAR_START_MS;
	if (isHeld || state.enginesWithSidecar.has(address) || (known === undefined && !isSettled)) {
		return undefined;
	}

	const next = getLeastLoadedCandidate(state, candidates.filter(candidate => now - candidate.reportedAt <= ORDER_LEASE_MS));
	if (!next) {
		return undefined;
	}

	const lease = {
		address, vm: next.vm, fence: newFence(state), startsAt: Math.max(now, getNextHolderStartAt(state, settings, address)), renewedAt: next.reportedAt,
	};
	state.leases.set(address, lease);
	return lease;
};

/**
 * Renews, removes and grants leases according to the present engines and candidates, and returns the newly granted leases. An engine without a
 * sidecar has one holder at a time. The next holder has a higher fencing token, and starts only when orders of the previous holder can no
 * longer arrive.
 */
export const mutateLeases = (state: LeaseState, settings: LeaseSettings, {addresses, candidates}: LeaseParticipants, now: number): OrderLease[] => {
	mutateFirstSeen(state, addresses, now);
	for (const candidate of candidates) {
		mutateRenewedLeases(state, candidate);
	}

	mutateExpiredLeases(state, settings, addresses, now);
	return [...addresses].flatMap(address => mutateGrantedLease(state, settings, address, candidates, now) ?? []);
};
