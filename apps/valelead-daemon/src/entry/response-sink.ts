import type {Buffer} from 'node:buffer';
import type {Refusal} from './refusal.js';

/** Receives an upstream's response chunk by chunk and passes it to the caller. */
export type ResponseSink = {
	/** True if chunks are sent to the caller before the response is complete. */
	readonly isStream: boolean;
	readonly start: (status: number, contentType: string) => void;
	readonly data: (chunk: Buffer) => void;
	readonly end: () => void;
	readonly refuse: (refusal: Refusal) => void;
};
