/**
 * Number of crashes in phase `SUSPECT_PHASE.Begun` that suffice to quarantine a request, however many other requests were in progress at these
 * crashes.
 */
export const BEGUN_CRASH_THRESHOLD = 3;
