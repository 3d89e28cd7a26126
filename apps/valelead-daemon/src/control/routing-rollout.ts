import type {Clock, TimerService} from '@valelead/common';
import type {Logger} from 'pino';
import type {FollowerSession} from './follower-session.js';

type RolloutParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	/**
	 * Called with the time for which a follower used an outdated routing.
	 * @param lagMs - Time since the commit of the first version that the follower lacked, in milliseconds.
	 */
	readonly onConfirmed: (role: string, lagMs: number) => void;
};

/** A routing version and the time at which this voter learned of its commit. */
type Commit = {
	readonly version: number;
	readonly at: number;
};

/** Number of commits that are kept: more than are made while a follower can be behind. */
const MAX_COMMITS = 256;

/** Followers that lack a version for longer than this time are logged, in milliseconds. */
const LAG_LOG_MS = 500;

const CHECK_MS = 250;

/** Maximum number of followers in one log line. */
const MAX_LOGGED_FOLLOWERS = 8;

/** Tracks how routing versions reach followers: which followers are behind, with which version, and for how long. */
export class RoutingRollout {
	readonly #parts: RolloutParts;
	readonly #commits: Commit[] = [];

	constructor(parts: RolloutParts) {
		this.#parts = parts;
	}

	/** @param getSessions - Returns the sessions with this voter; empty while this voter is not the leader. */
	start(getSessions: () => readonly FollowerSession[]): void {
		this.#parts.timers.repeat(CHECK_MS, now => {
			this.#logLagging(getSessions(), now);
		});
	}

	/** Records the commit time of the newest version. */
	noteCommitted(version: number): void {
		if (version <= (this.#commits.at(-1)?.version ?? 0)) {
			return;
		}

		this.#commits.push({version, at: this.#parts.clock.now()});
		if (this.#commits.length > MAX_COMMITS) {
			this.#commits.shift();
		}
	}

	/** Records that a follower confirmed a newer version. A follower's first routing is not counted as lag, as it used no older one before. */
	noteConfirmed(role: string, before: number, version: number): void {
		if (before > 0 && version > before) {
			this.#parts.onConfirmed(role, this.#getLagMs(before, this.#parts.clock.now()));
		}
	}

	/** Returns the time since the commit of the next newer version, in milliseconds; 0 if the given version is the newest. */
	#getLagMs(version: number, now: number): number {
		const next = this.#commits.find(commit => commit.version > version);
		return next ? now - next.at : 0;
	}

	#logLagging(sessions: readonly FollowerSession[], now: number): void {
		const lagging = sessions.filter(({confirmed}) => this.#getLagMs(confirmed.routingVersion, now) > LAG_LOG_MS);
		if (lagging.length === 0) {
			return;
		}

		const followers = lagging.slice(0, MAX_LOGGED_FOLLOWERS).map(({vm, role, confirmed, heardAt}) => ({
			vm, role, version: confirmed.routingVersion, lagMs: Math.round(this.#getLagMs(confirmed.routingVersion, now)), silentMs: Math.round(now - heardAt),
		}));
		this.#parts.logger.warn({
			event: 'followers-behind', version: this.#commits.at(-1)?.version, count: lagging.length, sessions: sessions.length, followers,
		}, 'followers use an outdated routing configuration');
	}
}
