import type {LeaseCandidate} from './lease-candidate.js';
import type {LeaseState} from './lease-state.js';

/**
 * Renews the leases of a process that has reported, and adopts those that an earlier leader granted to it. Leases of engines that now have a
 * sidecar are not renewed.
 */
export const mutateRenewedLeases = ({leases, enginesWithSidecar}: LeaseState, {vm, reportedAt, leases: held}: LeaseCandidate): void => {
	for (const lease of leases.values()) {
		if (lease.vm === vm && reportedAt > lease.renewedAt && !enginesWithSidecar.has(lease.address)) {
			leases.set(lease.address, {...lease, renewedAt: reportedAt});
		}
	}

	for (const {address, fence, startsInMs} of held) {
		const known = leases.get(address);
		// A lease that an earlier leader granted keeps its fencing token.
		if (known === undefined || (known.vm !== vm && known.fence < fence)) {
			leases.set(address, {
				address, vm, fence, startsAt: reportedAt + startsInMs, renewedAt: reportedAt,
			});
		}
	}
};
