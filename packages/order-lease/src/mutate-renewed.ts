import type {LeaseCandidate} from './lease-candidate.js';
import type {LeaseState} from './lease-state.js';

/**
 * Renews the leases of a process that was heard, and goes on with those that an earlier leader granted to it. Those of engines whose
 * sidecar has shown up end.
 */
export const mutateRenewed = ({leases, attended}: LeaseState, {vm, heardAt, held}: LeaseCandidate): void => {
	for (const lease of leases.values()) {
		if (lease.vm === vm && heardAt > lease.renewedAt && !attended.has(lease.address)) {
			leases.set(lease.address, {...lease, renewedAt: heardAt});
		}
	}

	for (const {address, fence, startsInMs} of held) {
		const known = leases.get(address);
		// A lease that an earlier leader granted goes on with its fence.
		if (known === undefined || (known.vm !== vm && known.fence < fence)) {
			leases.set(address, {
				address, vm, fence, startsAt: heardAt + startsInMs, renewedAt: heardAt,
			});
		}
	}
};
