import {SERVED_EXEMPTION_MS} from './served-exemption-ms.js';
import type {LastServedTimes} from './last-served-times.js';

/** Whether a request was answered whole so lately that it is not blamed for a crash. */
export const isServedLately = (served: LastServedTimes, fingerprint: string, now: number): boolean =>
	now - (served.get(fingerprint) ?? Number.NEGATIVE_INFINITY) < SERVED_EXEMPTION_MS;
