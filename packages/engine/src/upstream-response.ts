import type {Buffer} from 'node:buffer';

/** The beginning of an upstream's answer, and the stream of the rest. */
export type UpstreamResponse = {
	readonly status: number;
	readonly contentType: string;
	/** Fails if the upstream's answer is not whole. */
	readonly body: AsyncIterable<Buffer>;
};
