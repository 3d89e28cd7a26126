import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.js';

/** The clocks of the operating system. The monotonic time starts at the start of the process. */
export const SYSTEM_CLOCK: Clock = {
	now: () => performance.now(),
	wallNow: () => Date.now(),
};
