import type {TeamDispatches, TeamTotals} from '@valelead/protocol';

/** The part of an update of the leader that is about the dispatches of teams. */
type TeamUpdate = {
	/** What other gateways have dispatched; undefined if nothing has changed, or if the leader is of an older version. */
	readonly totals: Pick<TeamTotals, 'term' | 'teams'> | undefined;
	/** When the gateway made the last report that the leader has received, in the gateway's monotonic milliseconds. */
	readonly reportedAt: number;
};

/** Exchanges with the leader what the gateways have dispatched of each team. */
export type TeamExchange = {
	/**
	 * Returns what to report next.
	 * @param sentAt - When the report is made, in monotonic milliseconds.
	 * @param isFirst - True for the first report of a session: earlier reports may not have reached a leader.
	 */
	readonly getReport: (sentAt: number, isFirst: boolean) => TeamDispatches[];
	/** Applies an update of the leader. */
	readonly handleUpdate: (update: TeamUpdate) => void;
};
