/**
 * Maximum share of a quota's rate that is lent as rate loans. The usual rate of a team is about 0.56 of its quota. Less leaves the rate loans of small teams no time to recover from a request (0.75: twice as many
 * refusals as 0.9 while no leader answers). The rest stays at the leader,
 * for waiting requests, and for the next leader until all earlier rate loans have ended.
 */
export const MAX_RATE_SHARE = 0.85;
