/**
 * How long a lease is valid after the holder's report that renewed it, in milliseconds. Followers find a new leader within about 2.5 s of the
 * last message of the old one. Leases of 2 s expired in that time, which left all engines without orders for 5 s. A longer lease leaves an
 * engine without orders for longer after its holder has ended.
 */
export const ORDER_LEASE_MS = 3500;
