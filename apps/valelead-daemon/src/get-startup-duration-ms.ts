/** Returns the time since the process was started, in milliseconds. It includes loading the program and waiting for processor time. */
export const getStartupDurationMs = (): number => Math.round(performance.now());
