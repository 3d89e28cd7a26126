import type {LastServedTimes} from './last-served-times.js';

/** Maximum number of entries, about 500 KiB; a new entry replaces the request that was answered longest ago. */
const MAX_SERVED_REQUESTS = 4096;

/** Records that a request was answered completely. */
export const mutateLastServedTimes = (served: LastServedTimes, fingerprint: string, now: number): void => {
	served.delete(fingerprint);
	served.set(fingerprint, now);
	if (served.size > MAX_SERVED_REQUESTS) {
		const [oldest] = served.keys();
		served.delete(oldest);
	}
};
