import type {EngineSpeed} from './engine-speed.js';

/** True if the time between events differs by at least a ratio, or is known in only one of both cases. */
export const isSpeedChanged = (before: EngineSpeed, after: EngineSpeed, ratio: number): boolean => {
	if (before.eventGapMs === 0 || after.eventGapMs === 0) {
		return before.eventGapMs !== after.eventGapMs;
	}

	return Math.max(before.eventGapMs, after.eventGapMs) >= ratio * Math.min(before.eventGapMs, after.eventGapMs);
};
