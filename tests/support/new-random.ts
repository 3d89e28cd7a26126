import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of numbers in [0, 1) that gives the same row for the same seed. */
export const newRandom = (seed: number): () => number => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};
