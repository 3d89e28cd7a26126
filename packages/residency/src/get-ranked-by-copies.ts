import {isShortOfCopies} from './is-short-of-copies.js';
import type {Replica} from './replica.js';

type RankedReplica = {
	readonly upstreamId: string;
	readonly isShort: boolean;
	readonly rank: number;
};

/** Engines in the same order in every process: those that keep few copies first, then by a rank of their ids, the lowest first. */
export const getRankedByCopies = (engines: readonly Replica[], getRank: (upstreamId: string) => number): RankedReplica[] => {
	const mostCopies = Math.max(...engines.map(engine => engine.copies));
	return engines
		.map(({upstreamId, copies}) => ({upstreamId, isShort: isShortOfCopies(copies, mostCopies), rank: getRank(upstreamId)}))
		.sort((left, right) => (Number(right.isShort) - Number(left.isShort)) || (left.rank - right.rank));
};
