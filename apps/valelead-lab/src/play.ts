import type {CallResult} from './call-result.js';

/** What one engine has loaded, by where the weights came from, and for how long it was busy with orders. */
type EngineLoads = {
	readonly id: string;
	readonly memory: number;
	readonly disk: number;
	readonly store: number;
	readonly busyMs: number;
	/** Orders that it refused, as it was busy or its state had changed. */
	readonly refusedOrders: number;
};

/** One play of a pattern. */
export type Play = {
	readonly seed: number;
	readonly results: readonly CallResult[];
	/** Engines that crashed under requests, and requests that were kept from engines at the end. */
	readonly crashes: number;
	readonly quarantined: number;
	readonly loads: readonly EngineLoads[];
};
