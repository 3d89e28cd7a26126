import {CRASH_LEASE_MS} from '@valelead/quarantine';

/** By then a leader has noticed that a lease is out and has told the other gateways, in milliseconds after its end. */
const NOTICE_MS = 500;

/** After this time no gateway goes by a lease that it got while this one could have had its own, in milliseconds. */
export const PEER_LEASES_EXPIRY_MS = (2 * CRASH_LEASE_MS) + NOTICE_MS;
