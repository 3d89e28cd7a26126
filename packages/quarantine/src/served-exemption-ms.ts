/**
 * For how long a request that an upstream answered whole is not blamed for crashes, in milliseconds. What many callers ask all the time is in progress
 * at nearly every crash, and is answered many times a minute; what crashes upstreams is not answered at all.
 */
export const SERVED_EXEMPTION_MS = 60_000;
