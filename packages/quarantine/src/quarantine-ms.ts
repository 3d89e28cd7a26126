/**
 * Duration of a quarantine in milliseconds. After that, the request may be sent again; if it crashes another upstream, it is quarantined for the
 * same time again. A request that callers repeat for ever therefore crashes one upstream in ten minutes.
 */
export const QUARANTINE_MS = 600_000;
