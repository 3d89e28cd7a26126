import type {Buffer} from 'node:buffer';

/** An answer that was received to its end. */
export type WholeAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Buffer;
};
