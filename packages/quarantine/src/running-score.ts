/**
 * Score of a request for a crash at which it was in phase `SUSPECT_PHASE.Running`: nine such crashes quarantine it. A request that many callers
 * send all the time is in this phase at every crash, even in the first seconds, when no response has been completed yet.
 */
export const RUNNING_SCORE = 0.25;
