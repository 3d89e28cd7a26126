import type {Fleet} from './fleet.js';
import type {MembershipSettings} from './membership-settings.js';

/** Entries that were silent for this many leases are dropped. */
const ENTRY_RETENTION_LEASES = 3;

/** Drops entries whose lease ended. VMs stay listed until they are forgotten. */
export const mutateFleet = (fleet: Fleet, settings: MembershipSettings, now: number): void => {
	for (const [name, received] of fleet.entries) {
		if (now - received.receivedAt > settings.leaseMs * ENTRY_RETENTION_LEASES) {
			fleet.entries.delete(name);
		}
	}
};
