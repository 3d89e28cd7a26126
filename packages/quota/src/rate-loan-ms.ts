/**
 * Time for which a rate loan is valid after the report that the leader's last response confirms, in milliseconds. It exceeds 7.7 s, the longest
 * silence of a leader that borrowers are meant to bridge, by several report intervals.
 */
export const RATE_LOAN_MS = 10_000;
