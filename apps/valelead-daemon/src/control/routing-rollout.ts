import type {Clock, TimerService} from '@valelead/common';
import type {Logger} from 'pino';
import type {FollowerSession} from './follower-session.js';

type RolloutParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	/**
	 * Hears for how long a follower obeyed an older routing.
	 * @param lagMs - From the commit of the first version that it lacked, in milliseconds.
	 */
	readonly onConfirmed: (role: string, lagMs: number) => void;
};

/** When a version was committed, as this voter knows. */
type Commit = {
	readonly version: number;
	readonly at: number;
};

/** Commits that are remembered: more than come in the time that a follower may be behind. */
const MAX_COMMITS = 256;

/** A follower that lacks a version for longer is named in the log, in milliseconds. */
const LATE_MS = 500;

const CHECK_MS = 250;

/** Followers that one line names. */
const MAX_NAMES = 8;

/** Follows how routings spread from the leader: who is behind, by what version, and for how long. */
export class RoutingRollout {
	readonly #parts: RolloutParts;
	readonly #commits: Commit[] = [];

	constructor(parts: RolloutParts) {
		this.#parts = parts;
	}

	/** @param getSessions - The sessions with this voter, or none while it does not lead. */
	start(getSessions: () => readonly FollowerSession[]): void {
		this.#parts.timers.repeat(CHECK_MS, now => {
			this.#logLate(getSessions(), now);
		});
	}

	/** Takes the newest committed version. */
	noteCommitted(version: number): void {
		if (version <= (this.#commits.at(-1)?.version ?? 0)) {
			return;
		}

		this.#commits.push({version, at: this.#parts.clock.now()});
		if (this.#commits.length > MAX_COMMITS) {
			this.#commits.shift();
		}
	}

	/** Takes that a follower went on from one version to another. A first routing is no lag, as no older one was obeyed. */
	noteConfirmed(role: string, before: number, version: number): void {
		if (before > 0 && version > before) {
			this.#parts.onConfirmed(role, this.#getLagMs(before, this.#parts.clock.now()));
		}
	}

	/** Since when a newer version than this one is committed, in milliseconds; 0 where it is the newest. */
	#getLagMs(version: number, now: number): number {
		const next = this.#commits.find(commit => commit.version > version);
		return next ? now - next.at : 0;
	}

	#logLate(sessions: readonly FollowerSession[], now: number): void {
		const late = sessions.filter(({confirmed}) => this.#getLagMs(confirmed.routingVersion, now) > LATE_MS);
		if (late.length === 0) {
			return;
		}

		const followers = late.slice(0, MAX_NAMES).map(({vm, role, confirmed, heardAt}) => ({
			vm, role, version: confirmed.routingVersion, lagMs: Math.round(this.#getLagMs(confirmed.routingVersion, now)), silentMs: Math.round(now - heardAt),
		}));
		this.#parts.logger.warn({
			event: 'followers-behind', version: this.#commits.at(-1)?.version, count: late.length, sessions: sessions.length, followers,
		}, 'followers obey an older routing');
	}
}
