import type {LastServedTimes} from './last-served-times.js';

/** Requests that are remembered as answered; the one answered longest ago makes way. Some 500 KiB. */
const MAX_SERVED_REQUESTS = 4096;

/** Remembers that a request was answered whole. */
export const mutateLastServedTimes = (served: LastServedTimes, fingerprint: string, now: number): void => {
	served.delete(fingerprint);
	served.set(fingerprint, now);
	if (served.size > MAX_SERVED_REQUESTS) {
		const [oldest] = served.keys();
		served.delete(oldest);
	}
};
