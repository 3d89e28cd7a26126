/** A credit as the entry holds it. */
type HeldCredit = {
	readonly id: string;
	readonly expiresAt: number;
};

/** What an entry knows of one agent. */
export type AdmissionLane = {
	credits: HeldCredit[];
	/** Whether the entry reaches the upstream itself, without credits of an agent. */
	isDirect: boolean;
	wanted: number;
	lastUsedAt: number;
	inProgress: number;
	/** Since when the upstream has answered none of the requests in progress there; undefined where none is. */
	unansweredSince: number | undefined;
	failures: number;
	ejections: number;
	ejectedUntil: number;
	/** Targets that the agent refused, and until when they are not tried there. */
	readonly avoided: Map<string, number>;
};
