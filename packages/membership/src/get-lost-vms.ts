import type {Fleet} from './fleet.js';
import type {MembershipSettings} from './membership-settings.js';

/** VMs that may be taken as gone. A VM that this leader never heard counts from the start of its leadership. */
export const getLostVms = (fleet: Fleet, settings: MembershipSettings, registeredVms: readonly string[], leaderSince: number, now: number): string[] => {
	if (settings.assumeLostMs === 0) {
		return [];
	}

	return registeredVms.filter(vm => now - (fleet.vms.get(vm)?.receivedAt ?? leaderSince) > settings.assumeLostMs);
};
