import type {Buffer} from 'node:buffer';

/** The head of an upstream's response, and its body as a stream. */
export type UpstreamResponse = {
	readonly status: number;
	readonly contentType: string;
	/** Throws during iteration if the upstream's response is incomplete. */
	readonly body: AsyncIterable<Buffer>;
};
