import type {CALL_OUTCOME} from './call-outcome.js';

/** The end of one caller's request. Times in milliseconds. */
export type CallResult = {
	readonly className: string;
	readonly outcome: (typeof CALL_OUTCOME)[keyof typeof CALL_OUTCOME];
	readonly model: string;
	/** Empty for the model itself. */
	readonly adapter: string;
	/** From the first try to the first event, or to the end where none came. */
	readonly waitedMs: number;
	readonly at: number;
	/** The part of its worth that holding its tries in vain, or refusing it twice, costs. */
	readonly pricedShare: number;
};
