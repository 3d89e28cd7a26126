import type {OriginTable} from './origin-table.js';

/** Removes the records that have expired at `now`, in monotonic milliseconds. */
export const mutateExpiredOrigins = ({records}: OriginTable, now: number): void => {
	for (const [key, {expiresAt}] of records) {
		if (expiresAt <= now) {
			records.delete(key);
		}
	}
};
