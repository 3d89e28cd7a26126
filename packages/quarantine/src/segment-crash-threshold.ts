/** Number of crashes from which a segment is quarantined, if no upstream ran a prompt with it since the first of them. */
export const SEGMENT_CRASH_THRESHOLD = 3;
