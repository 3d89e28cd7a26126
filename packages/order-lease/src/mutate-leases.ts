import {ORDER_LEASE_MS} from './order-lease-ms.js';
import {getNextHolderStartAt} from './get-next-holder-start-at.js';
import {mutateRenewed} from './mutate-renewed.js';
import type {LeaseCandidate} from './lease-candidate.js';
import type {LeaseSettings} from './lease-settings.js';
import type {LeaseState} from './lease-state.js';
import type {LeaseParticipants} from './lease-participants.js';
import type {OrderLease} from './order-lease.js';

/** An engine's sidecar starts with it and reaches the leader within this time, in milliseconds; processes start in up to about a second. */
const SIDECAR_START_MS = 3000;

/** Fences of one term lie below those of the next; no leadership grants as many leases. */
const FENCES_PER_TERM = 65_536;

/**
 * The candidate that holds fewest leases, the first by name among equals. One that stops comes after all others: an engine has no orders
 * from the end of its holder until that one's lease is over.
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

/** Forgets a lease of an engine that is gone, once nothing of it can arrive any more. */
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
	// Where no engine has a sidecar, one that joins is not waited for.
	const isAwaited = state.attended.size > 0 && now - state.firstSeenAt.get(address)! < SIDECAR_START_MS;
	const isSettled = !isAwaited && now - state.startedAt >= SIDECAR_START_MS;
	if (isHeld || state.attended.has(address) || (known === undefined && !isSettled)) {
		return undefined;
	}

	const next = getLeastLoadedCandidate(state, candidates.filter(candidate => now - candidate.heardAt <= ORDER_LEASE_MS));
	if (!next) {
		return undefined;
	}

	const lease = {
		address, vm: next.vm, fence: newFence(state), startsAt: Math.max(now, getNextHolderStartAt(state, settings, address)), renewedAt: next.heardAt,
	};
	state.leases.set(address, lease);
	return lease;
};

/**
 * Takes what is known now and returns the leases that were granted anew. An engine without a sidecar gets one holder at a time; its next
 * holder has a higher fence, and begins only when nothing of the one before can arrive any more.
 */
export const mutateLeases = (state: LeaseState, settings: LeaseSettings, {addresses, candidates}: LeaseParticipants, now: number): OrderLease[] => {
	mutateFirstSeen(state, addresses, now);
	for (const candidate of candidates) {
		mutateRenewed(state, candidate);
	}

	mutateExpiredLeases(state, settings, addresses, now);
	return [...addresses].flatMap(address => mutateGrantedLease(state, settings, address, candidates, now) ?? []);
};
