import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {FollowerReport, SessionReport, SessionUpdate} from '@valelead/protocol';
import type {Progress} from './progress.js';
import type {SentTotals} from './sent-totals.js';

/** The session of a gateway or sidecar that is connected to this voter. Times are monotonic milliseconds of this process unless stated otherwise. */
export type FollowerSession = {
	/** Identifies the session among those of this voter. */
	readonly id: string;
	readonly stream: ServerDuplexStream<SessionReport, SessionUpdate>;
	readonly vm: string;
	readonly role: string;
	/** Addresses of the engines whose own sidecar the follower has reached, or beside which it runs. */
	readonly attendedEngines: Set<string>;
	/** When the last report of the follower arrived. */
	heardAt: number;
	/** The follower's own monotonic time at its last report. */
	sentAt: number;
	/** When the leader last sent the follower an update. */
	repliedAt: number;
	/** The state that was sent to the follower. It counts as received because a stream loses no messages while it is open. */
	sent: Progress;
	/** When a routing was last sent to the follower. */
	routingSentAt: number;
	/** Version of the quarantine list that was last sent to the follower; 0 before the first. */
	quarantineVersion: number;
	/** Version of the quarantine list that the follower applies, by its last report. */
	quarantineConfirmed: number;
	/** The follower's own time of its newest crash report whose consequences all reachable gateways have applied. */
	crashesKnownUntil: number;
	/** The follower's own time of its newest crash report whose consequences no gateway at all can still be unaware of. */
	crashesObeyedUntil: number;
	/** Version of the upstream rate limits that was last sent to the follower; 0 before the first. */
	limitsVersion: number;
	/** The totals of teams' dispatches that were sent to the follower. */
	readonly teamTotals: SentTotals;
	/** The state that the follower has applied, by its last report. */
	confirmed: Progress;
	/** Crash reports that arrived while this voter was not the leader, kept until it is. */
	readonly unprocessedReports: FollowerReport[];
};
