import type {Buffer} from 'node:buffer';

/** A caller's request in the form in which it is sent to an upstream. */
export type UpstreamRequest = {
	readonly requestId: string;
	readonly attemptId: string;
	/** Sent as the salt of the prefix cache, so that teams do not share cached prefixes. */
	readonly team: string;
	readonly method: string;
	readonly path: string;
	readonly contentType: string;
	readonly body: Buffer;
	readonly priority: number;
	readonly remainingMs: number;
};
