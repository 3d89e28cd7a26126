import {ORDER_LEASE_MS} from './order-lease-ms.js';
import type {LeaseSettings} from './lease-settings.js';
import type {LeaseState} from './lease-state.js';

/**
 * Returns when a new lease holder may send its first order to an engine: once the lease of the known holder has expired and its delayed orders
 * can no longer arrive. If no holder is known, an earlier leader may have renewed a lease until this leader's term began.
 */
export const getNextHolderStartAt = ({leases, startedAt}: LeaseState, {orderGapMs}: LeaseSettings, address: string): number =>
	(leases.get(address)?.renewedAt ?? startedAt) + ORDER_LEASE_MS + orderGapMs;
