/**
 * Time after which a counted request has a weight of 1/e, in milliseconds. A gateway has about one request a second of a rare class, so that shorter times
 * hold too few requests for a share. Longer ones would still prefer a class some time after a burst has ended, which lasts 3 to 15 s.
 */
const SERVICE_MEMORY_MS = 8000;

/** Returns the weight of a request that was counted `ageMs` milliseconds ago. */
export const getServiceDecay = (ageMs: number): number => Math.exp(-ageMs / SERVICE_MEMORY_MS);
