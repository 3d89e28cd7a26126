import type {Wait} from './wait.js';

/** What is needed of a model, or of an adapter on it, at one engine. */
export type UnitNeed = {
	readonly model: string;
	/** Empty for the model itself. */
	readonly adapter: string;
	/** Requests that wait for it to be loaded. */
	readonly waiting: number;
	readonly inProgress: number;
	/** Those that wait, by when they are due. */
	readonly waits: readonly Wait[];
};
