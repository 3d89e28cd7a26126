import type {ResultCodeValue} from '@valelead/common';

/** One attempt to send a request to an upstream, as the dispatcher tracks it. */
export type SentAttempt = {
	/** The id that the caller gave the request. */
	readonly requestId: string;
	readonly upstreamId: string;
	/** When the attempt was started, in monotonic milliseconds. */
	readonly startedAt: number;
	/** True once the connection is established, so that bytes of the request may have been sent. */
	readonly isSent: boolean;
	readonly isAnswered: boolean;
	/** True if the request was sent on a connection that had served another request before. */
	readonly isConnectionReused: boolean;
	/** Stops reading the response until `resume` is called; absent if the response cannot be paused. */
	readonly pause?: () => void;
	readonly resume?: () => void;
	/** Ends the attempt and its connection without calling any callback. */
	readonly cancel: () => void;
	/** Ends the attempt and its connection, and reports the given failure. */
	readonly fail: (code: ResultCodeValue, reason: string) => void;
};
