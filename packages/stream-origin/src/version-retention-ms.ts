/** Time for which a software version counts without an upstream, in milliseconds: longer than streams usually last. */
export const VERSION_RETENTION_MS = 60_000;
