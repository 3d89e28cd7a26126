import type {LeaseState} from './lease-state.js';
import type {OrderLease} from './order-lease.js';

/** Returns the leases that a VM holds, without those of engines that have a sidecar. */
export const getVmLeases = ({leases, enginesWithSidecar}: LeaseState, vm: string): OrderLease[] =>
	[...leases.values()].filter(lease => lease.vm === vm && !enginesWithSidecar.has(lease.address));
