import {SERVED_EXEMPTION_MS} from './served-exemption-ms.js';
import type {LastServedTimes} from './last-served-times.js';

/** True if a request was answered completely within the last `SERVED_EXEMPTION_MS`, so that crashes do not count against it. */
export const isRecentlyServed = (served: LastServedTimes, fingerprint: string, now: number): boolean =>
	now - (served.get(fingerprint) ?? Number.NEGATIVE_INFINITY) < SERVED_EXEMPTION_MS;
