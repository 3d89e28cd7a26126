import type {LOAD_DELAY} from './load-delay.js';

/** A load that is next in the queue of an engine but is not ordered yet, and the reason. */
export type DelayedLoad = {
	readonly model: string;
	readonly reason: (typeof LOAD_DELAY)[keyof typeof LOAD_DELAY];
};
