/** Interval at which HTTP servers for callers look for request heads that are overdue, in milliseconds. The one of Node.js is 30 s. */
export const HEAD_CHECK_INTERVAL_MS = 500;
