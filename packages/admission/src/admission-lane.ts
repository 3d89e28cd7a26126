/** A credit that an agent has granted to the entry. Times are monotonic milliseconds. */
type HeldCredit = {
	readonly id: string;
	readonly expiresAt: number;
};

/** The state that an entry keeps about one VM, which it reaches through the VM's agent or directly. Times are monotonic milliseconds. */
export type AdmissionLane = {
	credits: HeldCredit[];
	/** True if the entry sends requests to the upstream directly, without credits of an agent. */
	isDirect: boolean;
	/** The number of credits that the entry last asked the agent for. */
	wanted: number;
	lastUsedAt: number;
	inProgress: number;
	/** The time since which the upstream has answered none of the requests in progress there; undefined if none awaits a response. */
	unansweredSince: number | undefined;
	/** When an attempt there could last not be started; undefined once the upstream has answered since. */
	unstartedAt: number | undefined;
	/** The number of consecutive failures since the last success or ejection. */
	failures: number;
	/** The number of consecutive ejections since the last success. */
	ejections: number;
	ejectedUntil: number;
	/** When each class last had a request dispatched to the VM; empty unless requests are ordered by their latest start. */
	readonly classUses: Map<string, number>;
	/** The targets whose requests the VM refused, each with the time until which no request for it is sent there. */
	readonly avoided: Map<string, number>;
};
