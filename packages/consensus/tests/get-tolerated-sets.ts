import type {Voter} from '@valelead/consensus';

type ToleratedSets = {
	/** Maximum number of further members that may be lost, whichever they are, so that a majority of the votes remains. */
	readonly losses: number;
	/** Number of sets of further lost members that leave a majority of the votes. */
	readonly sets: number;
};

const countBits = (mask: number): number => mask === 0 ? 0 : (mask % 2) + countBits(Math.floor(mask / 2));

const isIn = (mask: number, position: number): boolean => Math.floor(mask / (2 ** position)) % 2 === 1;

/** Tries every set of further lost members, in addition to the members that have failed already. */
export const getToleratedSets = (members: readonly Voter[], failed: ReadonlySet<string>): ToleratedSets => {
	const live = members.filter(({id}) => !failed.has(id));
	const needed = Math.floor(members.filter(({isLearner}) => !isLearner).length / 2) + 1;
	const masks = Array.from({length: 2 ** live.length}, (_, mask) => mask);
	const hasMajority = (mask: number): boolean => live.filter(({isLearner}, position) => !isLearner && !isIn(mask, position)).length >= needed;
	const fatal = masks.filter(mask => !hasMajority(mask));
	const fewest = Math.min(...fatal.map(mask => countBits(mask)));
	return {losses: fewest - 1, sets: masks.length - fatal.length};
};
