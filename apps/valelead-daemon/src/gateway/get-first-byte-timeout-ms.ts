import type {Route} from '@valelead/routing';

/** The first-byte timeout of a repeatable request, as a multiple of the latency objective of its route. */
const TIMEOUT_OBJECTIVES = 3;

/** Lower bound of the first-byte timeout, in milliseconds. */
const MIN_TIMEOUT_MS = 900;

/**
 * Returns the first-byte timeout in milliseconds: the time that an upstream has to begin its response before the gateway sends a repeatable request
 * to another upstream.
 */
export const getFirstByteTimeoutMs = (route: Route): number => Math.max(MIN_TIMEOUT_MS, route.objectiveMs * TIMEOUT_OBJECTIVES);
