import type {Buffer} from 'node:buffer';
import type {Refusal} from '../entry/refusal.js';

/** The way to one caller for the single answer that it gets. */
export type Answer = {
	/** Whether the status has been written, so that another answer is no longer possible. */
	readonly isStarted: boolean;
	readonly isEnded: boolean;
	/** Whether the caller is known to have ended its connection. */
	readonly isCallerGone: boolean;
	/**
	 * Writes the head of an upstream's answer.
	 * @param rawHeaders - Headers that go on, as name, value, name, value …
	 * @param length - The length of the body in bytes, or undefined where it is not known yet.
	 */
	readonly start: (status: number, rawHeaders: readonly string[], length: number | undefined) => void;
	readonly data: (chunk: Buffer) => void;
	readonly end: (chunk?: Buffer) => void;
	/** Gives the final answer where no upstream's can be given. */
	readonly refuse: (refusal: Refusal) => void;
};
