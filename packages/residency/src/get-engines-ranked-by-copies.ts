import {hasFewCopies} from './has-few-copies.js';
import type {EngineCopyCount} from './engine-copy-count.js';

type RankedEngine = {
	readonly upstreamId: string;
	readonly hasFewCopies: boolean;
	readonly rank: number;
};

/**
 * Sorts engines into the same order in every process: first the engines with few copies, then the remaining ones, each group by ascending
 * rank of its ids.
 */
export const getEnginesRankedByCopies = (engines: readonly EngineCopyCount[], getRank: (upstreamId: string) => number): RankedEngine[] => {
	const mostCopies = Math.max(...engines.map(engine => engine.copies));
	return engines
		.map(({upstreamId, copies}) => ({upstreamId, hasFewCopies: hasFewCopies(copies, mostCopies), rank: getRank(upstreamId)}))
		.sort((left, right) => (Number(right.hasFewCopies) - Number(left.hasFewCopies)) || (left.rank - right.rank));
};
