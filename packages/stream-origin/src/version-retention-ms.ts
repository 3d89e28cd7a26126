/** Time for which a software version counts after its last upstream has left, in milliseconds: longer than streams usually last. */
export const VERSION_RETENTION_MS = 60_000;
