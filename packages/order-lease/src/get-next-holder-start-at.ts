import {ORDER_LEASE_MS} from './order-lease-ms.js';
import type {LeaseSettings} from './lease-settings.js';
import type {LeaseState} from './lease-state.js';

/**
 * When an engine may get its first order from a new holder: once the lease of the known one, or of one that an earlier leader may have
 * renewed until this leadership began, is over and its late orders are too.
 */
export const getNextHolderStartAt = ({leases, startedAt}: LeaseState, {orderGapMs}: LeaseSettings, address: string): number =>
	(leases.get(address)?.renewedAt ?? startedAt) + ORDER_LEASE_MS + orderGapMs;
