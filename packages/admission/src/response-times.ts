import type {ShortestTimes} from './shortest-times.js';

/** The measured times of the responses to one class of requests. Durations and times in monotonic milliseconds. */
export type ResponseTimes = {
	/** The exponential moving average of the time from dispatch until a response begins. */
	meanStartMs: number;
	/** The shortest times in the current window. */
	current: ShortestTimes;
	/** The shortest times in the window before. */
	previous: ShortestTimes;
	/** When the current window began. */
	windowStartedAt: number;
};
