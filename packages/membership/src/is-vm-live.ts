import type {Fleet} from './fleet.js';
import type {MembershipSettings} from './membership-settings.js';

/** True if the lease of a VM has not expired. */
export const isVmLive = (fleet: Fleet, settings: MembershipSettings, vm: string, now: number): boolean => {
	const received = fleet.vms.get(vm);
	return received !== undefined && now - received.receivedAt < settings.leaseMs;
};
