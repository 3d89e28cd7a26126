import type {Buffer} from 'node:buffer';

/** A response that was received completely. */
export type CompleteResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Buffer;
};
