import type {RequestLimits} from '@valelead/admission';

const UNLIMITED = Number.MAX_SAFE_INTEGER;

/** Stands for the limits per route and per team, which gateways do not have. */
export const UNLIMITED_REQUESTS: RequestLimits = {teamInProgress: UNLIMITED, teamWaiting: UNLIMITED, classWaiting: UNLIMITED};
