import type {Loan, SubjectUsage} from '@valelead/quota';

/** The part of an update of the leader that is about quotas. */
type QuotaUpdate = {
	/** The leader's term. */
	readonly term: number;
	readonly loans: readonly Loan[];
	/** Subjects for which a process keeps no stock, because their quota is scarce. */
	readonly scarceSubjects: readonly string[];
	/** True if the update also renews the rate loans. */
	readonly areRatesConfirmed: boolean;
	/** When the process made the report to which the update replies, in its own monotonic milliseconds. */
	readonly reportedAt: number;
};

/** Exchanges quota usage between a process and the leader: reports what is used and needed, and applies the loans that the leader grants. */
export type QuotaExchange = {
	/**
	 * Returns what to report next.
	 * @param isFirst - True for the first report of a session, when the leader does not know what the process has borrowed.
	 */
	readonly getReport: (isFirst: boolean) => SubjectUsage[];
	/** Applies an update of the leader. */
	readonly handleUpdate: (update: QuotaUpdate) => void;
};
