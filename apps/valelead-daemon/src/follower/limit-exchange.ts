import type {QuotaGrant, UpstreamLimits} from '@valelead/protocol';
import type {LimitSighting, SubjectUsage} from '@valelead/quota';

/** A gateway's report to the leader about upstreams that limit their request rates. */
type LimitReport = {
	/** Rate limits that upstreams have announced to this gateway. */
	readonly sightings: readonly LimitSighting[];
	/** Numbers of requests that were sent to these upstreams, and that wait to be sent. */
	readonly usages: readonly SubjectUsage[];
};

/** The part of an update of the leader that is about the rate limits of upstreams. */
type LimitUpdate = {
	/** All rate limits; undefined if they have not changed. */
	readonly limits: UpstreamLimits | undefined;
	/** Number of requests that the gateway may send; undefined if no upstream has a limit. */
	readonly grant: QuotaGrant | undefined;
	/** When the gateway made the report to which the update replies, in its own monotonic milliseconds. */
	readonly reportedAt: number;
};

/** Exchanges the rate limits of upstreams between a gateway and the leader: reports what the gateway has seen and applies what the leader grants. */
export type LimitExchange = {
	/**
	 * Returns what to report next.
	 * @param sentAt - When the report is made, in monotonic milliseconds.
	 * @param isFirst - True for the first report of a session, when the leader knows nothing of earlier reports.
	 */
	readonly getReport: (sentAt: number, isFirst: boolean) => LimitReport;
	/** Applies an update of the leader. */
	readonly handleUpdate: (update: LimitUpdate) => void;
};
