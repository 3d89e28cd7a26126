import type {Fleet} from './fleet.js';
import type {MembershipSettings} from './membership-settings.js';

/**
 * Returns the VMs that may be assumed lost. For a VM that has sent no report to this leader, its silence counts from the start of the leader's
 * term.
 */
export const getLostVms = (fleet: Fleet, settings: MembershipSettings, registeredVms: readonly string[], leaderSince: number, now: number): string[] => {
	if (settings.assumeLostMs === 0) {
		return [];
	}

	return registeredVms.filter(vm => now - (fleet.vms.get(vm)?.receivedAt ?? leaderSince) > settings.assumeLostMs);
};
