import type {EngineLimits} from './engine-limits.js';

/** A group of upstreams that serve the same requests. */
export type Service = {
	readonly name: string;
	/** The path of the upstreams' health check. */
	readonly healthPath: string;
	/** The number of connections that one upstream accepts from all its clients together. */
	readonly maxConnections: number;
	/** The capacity of each upstream if the upstreams are model engines; undefined if they are not. */
	readonly engine: EngineLimits | undefined;
};
