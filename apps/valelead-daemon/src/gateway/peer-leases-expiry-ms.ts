import {CRASH_LEASE_MS} from '@valelead/quarantine';

/** The longest time after the expiry of a lease until the leader has noticed it and informed the other gateways, in milliseconds. */
const NOTICE_MS = 500;

/** The time after which every lease that another gateway got while this gateway could have held its own has expired, in milliseconds. */
export const PEER_LEASES_EXPIRY_MS = (2 * CRASH_LEASE_MS) + NOTICE_MS;
