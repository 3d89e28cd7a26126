import type {LimitBook} from './limit-book.js';
import type {LimitSighting} from './limit-sighting.js';

/**
 * Time since the last response that announced a limit after which a later response may raise or end the limit, in milliseconds. Without it, a
 * delayed report from one process could undo a newer limit from another process.
 */
const LIMIT_HOLD_MS = 1000;

/** Updates the limit of an upstream from one of its responses; returns true if the limit changed. A lower limit applies at once. */
export const mutateNamedLimit = (table: LimitBook, {upstreamId, perSecond, at}: LimitSighting): boolean => {
	const known = table.get(upstreamId);
	if (known === undefined) {
		if (perSecond === undefined) {
			return false;
		}

		table.set(upstreamId, {perSecond, namedAt: at});
		return true;
	}

	const isHigher = perSecond === undefined || perSecond > known.perSecond;
	if (isHigher && at - known.namedAt <= LIMIT_HOLD_MS) {
		return false;
	}

	if (perSecond === undefined) {
		table.delete(upstreamId);
		return true;
	}

	table.set(upstreamId, {perSecond, namedAt: Math.max(at, known.namedAt)});
	return perSecond !== known.perSecond;
};
