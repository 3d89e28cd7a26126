import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {FollowerReport, SessionReport, SessionUpdate} from '@valelead/protocol';
import type {Progress} from './progress.js';

/** A gateway or sidecar that follows this voter. Times are monotonic milliseconds. */
export type FollowerSession = {
	/** One of this voter's sessions. */
	readonly id: string;
	readonly stream: ServerDuplexStream<SessionReport, SessionUpdate>;
	readonly vm: string;
	readonly role: string;
	/** The engines whose sidecars the follower has named. */
	readonly attendedEngines: Set<string>;
	heardAt: number;
	/** The follower's own time in its last report. */
	sentAt: number;
	repliedAt: number;
	/** What it was sent, taken as received: a stream loses nothing while it lasts. */
	sent: Progress;
	/** When it was last sent a routing. */
	routingSentAt: number;
	/** The version of the quarantine that it was sent; 0 before the first. */
	quarantineVersion: number;
	/** The version of the quarantine that it obeys, by its last report. */
	quarantineConfirmed: number;
	/** The follower's own time of the newest report of crashes whose consequences all gateways know. */
	crashesKnownUntil: number;
	/** The same for crashes that no gateway can be unaware of. */
	crashesObeyedUntil: number;
	/** The version of the limits of upstreams that it was sent; 0 before the first. */
	limitsVersion: number;
	/** What its last report says. */
	confirmed: Progress;
	/** Reports of crashes that came while this voter did not lead. */
	readonly unprocessedReports: FollowerReport[];
};
