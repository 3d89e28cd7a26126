/**
 * Time for which crashes do not count against a request after an upstream answered it completely, in milliseconds. A request that many callers
 * send all the time is in progress at nearly every crash and is answered many times a minute; a request that crashes upstreams is never answered.
 */
export const SERVED_EXEMPTION_MS = 60_000;
