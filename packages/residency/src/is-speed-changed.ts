/**
 * True if the mean time between events differs by at least a ratio, or is known in only one of both cases.
 * @param beforeMs - The mean time before, in milliseconds; 0 if it was not known.
 */
export const isSpeedChanged = (beforeMs: number, afterMs: number, ratio: number): boolean => {
	if (beforeMs === 0 || afterMs === 0) {
		return beforeMs !== afterMs;
	}

	return Math.max(beforeMs, afterMs) >= ratio * Math.min(beforeMs, afterMs);
};
