import type {ResultCodeValue} from '@valelead/common';

/** One sending of a request to an upstream, as the dispatcher follows it. */
export type SentAttempt = {
	/** The id that the caller gave the request. */
	readonly requestId: string;
	readonly upstreamId: string;
	/** Monotonic milliseconds. */
	readonly startedAt: number;
	/** Whether the connection is up, so that bytes of the request may have left. */
	readonly isSent: boolean;
	readonly isAnswered: boolean;
	/** Whether it was sent on a connection that had served another request before. */
	readonly isConnectionReused: boolean;
	/** Ends the attempt and its connection without a word to the gateway. */
	readonly cancel: () => void;
	/** Gives the attempt up as failed. */
	readonly fail: (code: ResultCodeValue, reason: string) => void;
};
