import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.js';

/** The clock of the operating system. Its monotonic time begins at the start of the process. */
export const SYSTEM_CLOCK: Clock = {
	now: () => performance.now(),
	wallNow: () => Date.now(),
};
