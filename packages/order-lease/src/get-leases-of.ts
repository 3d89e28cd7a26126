import type {LeaseState} from './lease-state.js';
import type {OrderLease} from './order-lease.js';

/** The leases of one VM; engines that a sidecar attends to are no longer among them. */
export const getLeasesOf = ({leases, attended}: LeaseState, vm: string): OrderLease[] =>
	[...leases.values()].filter(lease => lease.vm === vm && !attended.has(lease.address));
