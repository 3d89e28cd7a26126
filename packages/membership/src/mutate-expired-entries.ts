import type {Fleet} from './fleet.js';
import type {MembershipSettings} from './membership-settings.js';

/** Entries that have sent no report for this many lease durations are removed. */
const ENTRY_RETENTION_LEASES = 3;

/** Removes entries whose lease ended long ago. VMs are kept until they are forgotten. */
export const mutateExpiredEntries = (fleet: Fleet, settings: MembershipSettings, now: number): void => {
	for (const [name, received] of fleet.entries) {
		if (now - received.receivedAt > settings.leaseMs * ENTRY_RETENTION_LEASES) {
			fleet.entries.delete(name);
		}
	}
};
