/** What the head of an upstream's answer says beyond plain HTTP. */
export type AnswerHead = {
	/** The id of the request that the answer belongs to. */
	readonly requestId: string;
	/** Whether the upstream states that it did not run the request. */
	readonly isNotExecuted: boolean;
	/** Whether another run, or another upstream, is at the address. */
	readonly isOtherUpstream: boolean;
	/** The requests a second that the upstream takes from all callers together; undefined where it names no limit. */
	readonly limitPerSecond: number | undefined;
};
