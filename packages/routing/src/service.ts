import type {EngineLimits} from './engine-limits.js';

/** A group of upstreams that serve the same requests. */
export type Service = {
	readonly name: string;
	readonly healthPath: string;
	/** Connections that one upstream accepts from all callers together. */
	readonly maxConnections: number;
	/** Present where the upstreams are model engines. */
	readonly engine: EngineLimits | undefined;
};
