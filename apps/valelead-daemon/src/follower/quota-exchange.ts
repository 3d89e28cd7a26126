import type {Loan, SubjectUsage} from '@valelead/quota';

/** What the leader grants of quotas in one update. */
type QuotaNews = {
	readonly term: number;
	readonly loans: readonly Loan[];
	/** Subjects of which nothing is kept in stock. */
	readonly scarceSubjects: readonly string[];
	/** When the process made the report that the update answers, in its own monotonic milliseconds. */
	readonly reportedAt: number;
};

/** What a process tells the leader of quotas, and hears from it. */
export type QuotaExchange = {
	/** @param isFirst - Whether it begins a session, so that the leader knows nothing of what it has borrowed. */
	readonly getReport: (isFirst: boolean) => SubjectUsage[];
	readonly take: (news: QuotaNews) => void;
};
