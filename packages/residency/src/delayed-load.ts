import type {LOAD_DELAY} from './load-delay.js';

/** The model that an engine should load next, and why it is not ordered yet. */
export type DelayedLoad = {
	readonly model: string;
	readonly reason: (typeof LOAD_DELAY)[keyof typeof LOAD_DELAY];
};
