/** Crash score from which a request is quarantined: three crashes, two of which the request may share with one other request. */
export const QUARANTINE_SCORE = 2.1;
