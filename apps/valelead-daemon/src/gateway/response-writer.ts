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
	/** True while the caller has not read what was written, so that no more should be; absent if that never happens. */
	readonly isFull?: boolean;
	/** Calls the function once, when the response is no longer full. */
	readonly onceWritable?: (notify: () => void) => void;
	/**
	 * Counts the bytes that are buffered for this response before they are written.
	 * @param onExcess - Called if they are too many, with the reason; they must be released then.
	 */
	readonly hold?: (bytes: number, onExcess: (reason: string) => void) => void;
	/** The most bytes that may be buffered for one response; absent if there is no limit. */
	readonly maxHeldBytes?: number;
	readonly end: (chunk?: Buffer) => void;
	/** Sends an error response when no response of an upstream is available. */
	readonly refuse: (refusal: Refusal) => void;
};
