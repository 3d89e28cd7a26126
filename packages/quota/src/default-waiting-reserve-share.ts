/** Share of the bucket capacity that is reserved for waiting requests, for subjects whose bucket holds few requests. */
export const DEFAULT_WAITING_RESERVE_SHARE = 0.35;
