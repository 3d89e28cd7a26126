import type {Rate} from './rate.js';
import type {SessionRates} from './session-rates.js';

/** Units that a process accumulates from a rate loan. */
export type RateStock = {
	held: Rate;
	/** Rate that has expired here but may still be lent at the leader; it is returned with the next report. */
	ended: Rate;
	/** The session in which the rate was last reported for adoption by another leader, and when; undefined if it was not. */
	adoption: {readonly session: SessionRates; readonly at: number} | undefined;
	/** Accumulated units at `levelAt`, in monotonic milliseconds of the borrower. */
	level: number;
	levelAt: number;
};
