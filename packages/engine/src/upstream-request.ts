import type {Buffer} from 'node:buffer';

/** A request as it is sent to an upstream. */
export type UpstreamRequest = {
	readonly requestId: string;
	readonly attemptId: string;
	/** Keeps prefix caches of teams apart. */
	readonly team: string;
	readonly method: string;
	readonly path: string;
	readonly contentType: string;
	readonly body: Buffer;
	readonly priority: number;
	readonly remainingMs: number;
};
