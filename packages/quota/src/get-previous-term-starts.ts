import type {TermSighting} from './term-sighting.js';

/**
 * Returns when the terms before the newest one began, as far as their leaders may have lent units that are still valid, in monotonic milliseconds.
 * A term is counted even if nobody was seen to lead it. The first sighting counts once, because a voter that has just started does not know when
 * that term began.
 */
export const getPreviousTermStarts = (history: readonly TermSighting[]): number[] => {
	const starts = history.flatMap(({term, at}, index) => Array.from<number>({length: index === 0 ? 1 : term - history[index - 1].term}).fill(at));
	return starts.slice(0, -1);
};
