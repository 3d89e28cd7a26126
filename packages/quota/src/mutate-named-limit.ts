import type {LimitBook} from './limit-book.js';
import type {LimitSighting} from './limit-sighting.js';

/** A limit is raised or ended only by answers that came so much later than the last one that named it, in milliseconds: those of several processes overtake each other. */
const LIMIT_HOLD_MS = 1000;

/** Takes what an answer said; returns whether the limit in force has changed. A lower limit is in force at once. */
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
