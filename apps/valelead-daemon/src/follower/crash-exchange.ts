import type {QuarantineList} from '@valelead/protocol';
import type {Crash} from '@valelead/quarantine';

/** A gateway's report to the leader about crashed upstreams. */
type CrashReport = {
	/** Crashes of upstreams, each with the requests that were in progress there. */
	readonly crashes: readonly Crash[];
	/** Fingerprints of suspected requests that have since been answered completely. */
	readonly served: readonly string[];
	/** Version of the leader's quarantine list that the gateway applies; 0 before the first list of the session. */
	readonly quarantineVersion: number;
};

/** Reports crashes of a gateway's upstreams to the leader and applies the leader's quarantine decisions. */
export type CrashExchange = {
	/**
	 * Returns what to report next.
	 * @param isFirst - True for the first report of a session, when the leader has no report of this process yet.
	 */
	readonly getReport: (isFirst: boolean) => CrashReport;
	/**
	 * Applies a quarantine list.
	 * @param isFromLeader - True if the leader sent the list; the lists of other voters do not include suspected requests.
	 */
	readonly applyQuarantine: (list: QuarantineList, isFromLeader: boolean) => void;
	/**
	 * Called when the leader has processed this gateway's reports and its quarantine list has been applied.
	 * @param reportedAt - When the newest report that the leader has processed was made, in monotonic milliseconds.
	 * @param isLeaseGranted - True if the leader has crash reports from all gateways, so that the gateway may rely on the list for the time of a lease.
	 */
	readonly noteReported: (reportedAt: number, isLeaseGranted: boolean) => void;
	/**
	 * Called when all reachable gateways have applied the quarantine decisions that resulted from this gateway's crash reports.
	 * @param reportedAt - When the newest report of such crashes was made, in monotonic milliseconds.
	 */
	readonly noteReachableGatewaysApplied: (reportedAt: number) => void;
	/**
	 * Called when no gateway, not even an unreachable one, can still send requests without the quarantine decisions from this gateway's crash reports.
	 * @param reportedAt - When the newest report of such crashes was made, in monotonic milliseconds.
	 */
	readonly noteAllGatewaysApplied: (reportedAt: number) => void;
};
