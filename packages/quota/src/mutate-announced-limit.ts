import type {LimitTable} from './limit-table.js';
import type {LimitSighting} from './limit-sighting.js';

/**
 * Time since the last response that announced a limit after which a later response may raise or end the limit, in milliseconds. Without it, a
 * delayed report from one process could undo a newer limit from another process.
 */
const LIMIT_HOLD_MS = 1000;

/** Updates the limit of an upstream from one of its responses; returns true if the limit changed. A lower limit applies at once. */
export const mutateAnnouncedLimit = (table: LimitTable, {upstreamId, perSecond, at}: LimitSighting): boolean => {
	const known = table.get(upstreamId);
	if (known === undefined) {
		if (perSecond === undefined) {
			return false;
		}

		table.set(upstreamId, {perSecond, announcedAt: at});
		return true;
	}

	const isHigher = perSecond === undefined || perSecond > known.perSecond;
	if (isHigher && at - known.announcedAt <= LIMIT_HOLD_MS) {
		return false;
	}

	if (perSecond === undefined) {
		table.delete(upstreamId);
		return true;
	}

	table.set(upstreamId, {perSecond, announcedAt: Math.max(at, known.announcedAt)});
	return perSecond !== known.perSecond;
};
