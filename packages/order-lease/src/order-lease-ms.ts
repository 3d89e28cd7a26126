/**
 * How long a lease is valid after the holder's report that renewed it, in milliseconds. Followers find a new leader within about 2.5 s of
 * the last word of the old one; a lease of 2 s ended in that time, and all engines were without orders for 5 s. A longer one
 * keeps an engine without orders for longer after its holder is gone for good.
 */
export const ORDER_LEASE_MS = 3500;
