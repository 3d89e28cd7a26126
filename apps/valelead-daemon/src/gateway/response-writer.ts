import type {Buffer} from 'node:buffer';
import type {Refusal} from '../entry/refusal.js';

/** Writes the single response that a caller gets to its request. */
export type ResponseWriter = {
	/** True once the status line has been written, after which no other response can be sent. */
	readonly isStarted: boolean;
	readonly isEnded: boolean;
	/** True if the caller is known to have closed its connection. */
	readonly isCallerDisconnected: boolean;
	/**
	 * Writes the status and headers of an upstream's response.
	 * @param rawHeaders - Headers to forward, as name, value, name, value …
	 * @param length - The length of the body in bytes, or undefined if it is not known yet.
	 */
	readonly start: (status: number, rawHeaders: readonly string[], length: number | undefined) => void;
	readonly data: (chunk: Buffer) => void;
	readonly end: (chunk?: Buffer) => void;
	/** Sends an error response when no response of an upstream is available. */
	readonly refuse: (refusal: Refusal) => void;
};
