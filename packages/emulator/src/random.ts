import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {LengthDistribution} from './length-distribution.js';

/** Pseudo-random number generator; the same seed gives the same sequence. */
export class Random {
	/** Returns a uniformly distributed number in [0, 1). */
	readonly next: () => number;

	constructor(seed: number) {
		const generator = xoroshiro128plus(seed);
		this.next = () => uniformFloat64(generator);
	}

	/** Returns the time to the next event of a Poisson process, in the unit of the rate's reciprocal. */
	sampleExponential(rate: number): number {
		return -Math.log(1 - this.next()) / rate;
	}

	/** Returns a log-normally distributed length, rounded and limited to the range from 1 to the maximum. */
	sampleLength({mean, spread, max}: LengthDistribution): number {
		const normal = Math.sqrt(-2 * Math.log(1 - this.next())) * Math.cos(2 * Math.PI * this.next());
		const value = mean * Math.exp((spread * normal) - (spread * spread / 2));
		return Math.max(1, Math.round(Math.min(max, value)));
	}

	/** Returns a random index, with probabilities proportional to the weights. */
	sampleIndex(weights: readonly number[]): number {
		let rest = this.next() * weights.reduce((sum, weight) => sum + weight, 0);
		for (const [index, weight] of weights.entries()) {
			rest -= weight;
			if (rest < 0) {
				return index;
			}
		}

		return weights.length - 1;
	}
}
