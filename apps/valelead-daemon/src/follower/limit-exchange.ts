import type {QuotaGrant, UpstreamLimits} from '@valelead/protocol';
import type {LimitSighting, SubjectUsage} from '@valelead/quota';

/** What a gateway tells the leader of upstreams that limit their requests. */
type LimitReport = {
	readonly sightings: readonly LimitSighting[];
	/** Requests that were sent there, and that wait to be. */
	readonly usages: readonly SubjectUsage[];
};

/** What the leader tells of them in one update. */
type LimitNews = {
	/** All limits; undefined where they have not changed. */
	readonly limits: UpstreamLimits | undefined;
	/** Requests that may be sent; undefined where there is no limit. */
	readonly grant: QuotaGrant | undefined;
	/** When the gateway made the report that the update answers, in its own monotonic milliseconds. */
	readonly reportedAt: number;
};

/** What a gateway tells the leader of upstreams that limit their requests, and hears from it. */
export type LimitExchange = {
	/**
	 * @param sentAt - When the report is made, in monotonic milliseconds.
	 * @param isFirst - Whether it begins a session, so that the leader knows nothing of what was told before.
	 */
	readonly getReport: (sentAt: number, isFirst: boolean) => LimitReport;
	readonly take: (news: LimitNews) => void;
};
