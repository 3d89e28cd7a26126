import {
	type Clock, type TimerService, type TimerSubscription, Coalescer,
} from '@valelead/common';
import {
	type ChannelPool, type LeaderClient, type SessionReport, type SessionUpdate, Control,
} from '@valelead/protocol';
import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {Logger} from 'pino';
import {RunningTime} from './running-time.js';

type SessionStream = ClientDuplexStream<SessionReport, SessionUpdate>;

type SessionParts = {
	readonly pool: ChannelPool;
	readonly leader: LeaderClient;
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly heartbeatMs: number;
	/** @param isFirst - True for the first report of a session, when the voter knows nothing about this process yet. */
	readonly newReport: (sentAt: number, isFirst: boolean) => SessionReport;
	readonly onUpdate: (update: SessionUpdate) => void;
};

/** Requested reports are collected for this time before one is sent, in milliseconds. */
const COALESCE_MS = 3;

/** The delay before connecting again after a session has ended, in milliseconds. */
const RECONNECT_MS = 100;

/**
 * A voter is considered silent after this many heartbeat intervals of running time without an update, which is at the second heartbeat after its last
 * update.
 */
const MAX_SILENT_HEARTBEATS = 1.9;

/** A voter that sends no update on a new stream within this running time is skipped, in milliseconds. */
const FIRST_UPDATE_TIMEOUT_MS = 700;

/** The delay before the next report to a voter that names no leader, in milliseconds. */
const LEADER_QUERY_INTERVAL_MS = 150;

/**
 * Voters that report that they are outside the quorum are skipped immediately, each once per this period, in milliseconds, which equals a heartbeat
 * interval. The last voter of such a round is then polled like any other voter, because an election may be over soon.
 */
const OUTSIDE_ROUND_MS = 500;

/** A voter that names no leader for this long may itself be partitioned, in milliseconds. The time equals two of its election timeouts. */
const MAX_LEADERLESS_MS = 2000;

/**
 * For this long after a voter stopped responding, other voters that name it as the leader are ignored, in milliseconds. Another voter may name a dead
 * leader for two election timeouts, 1.4 s, and this process abandons the leader half a second after its death at the earliest. This leaves 0.9 s
 * plus a tick. A longer time would keep this process from a leader that was only suspended.
 */
const IGNORE_SILENT_LEADER_MS = 1000;

/**
 * For this long, a voter that stopped responding is skipped when the list of voters is tried in order, in milliseconds. Elections are over by then,
 * even after some split votes. Trying a dead voter costs the timeout of a first update. Other voters name a voter that has returned as the leader.
 */
const SKIP_SILENT_VOTER_MS = 5000;

/** Maintains a session with the leader. Sends a report at each heartbeat and on request, and finds the new leader after a change. */
export class SessionClient {
	readonly #parts: SessionParts;
	#stream: SessionStream | undefined;
	#lastUpdateAt = 0;
	/** Running time since the last update, or since the session was opened. */
	readonly #silence: RunningTime;
	#connectedAt = 0;
	#address = '';
	/** When a leader last sent an update in any session. Before the first update, the time when this client was created. */
	#lastLedAt: number;
	#hasLeader = false;
	/** Voters that stopped responding, with the time when each was abandoned. Several may fail at once. */
	readonly #silentVoters = new Map<string, number>();
	/** When the current round through voters outside the quorum began, and how many voters were skipped in it. */
	#outsideRound = {since: Number.NEGATIVE_INFINITY, skippedCount: 0};
	readonly #reports: Coalescer;
	readonly #leaderQueries: Coalescer;
	#isStopped = false;
	#heartbeats: TimerSubscription | undefined;

	constructor(parts: SessionParts) {
		this.#parts = parts;
		this.#lastLedAt = parts.clock.now();
		this.#silence = new RunningTime(parts.clock, parts.timers);
		this.#reports = new Coalescer(parts.timers, COALESCE_MS, () => {
			this.#report();
		});
		this.#leaderQueries = new Coalescer(parts.timers, LEADER_QUERY_INTERVAL_MS, () => {
			this.#report();
		});
	}

	start(): void {
		this.#silence.start();
		this.#heartbeats = this.#parts.timers.repeat(this.#parts.heartbeatMs, now => {
			this.#handleHeartbeat(now);
		});
		this.#connect();
	}

	stop(): void {
		this.#isStopped = true;
		this.#heartbeats?.cancel();
		this.#silence.stop();
		this.#stream?.end();
	}

	/** Address of the voter to which the session is open or was opened last; empty before the first session. */
	get address(): string {
		return this.#address;
	}

	/** Schedules a report. Changes until it is sent share the same report. */
	scheduleReport(): void {
		this.#reports.schedule();
	}

	#handleHeartbeat(now: number): void {
		if (this.#stream && this.#silence.elapsedMs > this.#parts.heartbeatMs * MAX_SILENT_HEARTBEATS) {
			this.#abandonVoter(this.#stream, now);
			return;
		}

		this.#report();
	}

	/** Abandons a voter that does not respond, resets its connection and connects to the next voter. */
	#abandonVoter(stream: SessionStream, now: number): void {
		this.#parts.logger.warn({event: 'leader-silent', address: this.#address, silentMs: Math.round(now - this.#lastUpdateAt)}, 'leader does not respond; trying another voter');
		this.#silentVoters.set(this.#address, now);
		this.#parts.leader.redirect('');
		this.#parts.pool.reset(this.#address);
		this.#cancelStream(stream);
		this.#connect();
	}

	#report(isFirst = false): void {
		if (this.#stream && !this.#isStopped) {
			this.#stream.write(this.#parts.newReport(this.#parts.clock.now(), isFirst));
		}
	}

	#connect(): void {
		if (this.#isStopped || this.#stream) {
			return;
		}

		const {leader, pool, timers, clock} = this.#parts;
		this.#skipSilentVoters();
		const {address} = leader;
		const stream = pool.get(address).bidiStream(Control.method.session);
		this.#stream = stream;
		this.#address = address;
		this.#connectedAt = clock.now();
		this.#lastUpdateAt = this.#connectedAt;
		this.#silence.restart();
		this.#hasLeader = false;
		let hasUpdate = false;
		stream.on('data', (update: SessionUpdate) => {
			hasUpdate = true;
			if (stream === this.#stream) {
				this.#receive(stream, address, update);
			}
		});
		stream.on('error', () => {
			// A cancelled stream also ends with an error, after the next stream has been opened.
			if (stream === this.#stream) {
				leader.redirect('');
				this.#reconnect(stream);
			}
		});
		stream.on('end', () => {
			this.#reconnect(stream);
		});
		this.#report(true);
		const abandonIfSilent = (now: number): void => {
			if (hasUpdate || stream !== this.#stream) {
				return;
			}

			const leftMs = FIRST_UPDATE_TIMEOUT_MS - this.#silence.elapsedMs;
			if (leftMs > 0) {
				timers.after(leftMs, abandonIfSilent);
			} else {
				this.#abandonVoter(stream, now);
			}
		};

		timers.after(FIRST_UPDATE_TIMEOUT_MS, abandonIfSilent);
	}

	/** Advances in the list to the next voter that has not recently been silent, if there is one. */
	#skipSilentVoters(): void {
		const {leader, clock} = this.#parts;
		if (leader.isLeaderKnown) {
			return;
		}

		const now = clock.now();
		for (let skipped = 0; skipped < leader.voterAddressCount && this.#wasRecentlySilent(leader.address, now); skipped += 1) {
			leader.redirect('');
		}
	}

	#wasRecentlySilent(address: string, now: number, withinMs = SKIP_SILENT_VOTER_MS): boolean {
		return now - (this.#silentVoters.get(address) ?? Number.NEGATIVE_INFINITY) < withinMs;
	}

	/** Handles an update. A voter whose update cannot be handled is left like one that does not respond, as its next one may be alike. */
	#receive(stream: SessionStream, address: string, update: SessionUpdate): void {
		try {
			this.#handleUpdate(stream, address, update);
		} catch (error) {
			const {message, stack} = error as Error;
			this.#parts.logger.error({
				event: 'update-unusable', address, reason: message, stack,
			}, 'an update of a voter cannot be handled; trying another voter');
			this.#silentVoters.set(address, this.#parts.clock.now());
			this.#parts.leader.redirect('');
			this.#reconnect(stream);
		}
	}

	#handleUpdate(stream: SessionStream, address: string, update: SessionUpdate): void {
		const now = this.#parts.clock.now();
		this.#lastUpdateAt = now;
		this.#silence.restart();
		this.#silentVoters.delete(address);
		const hasChanges = update.routing !== undefined || update.quarantine !== undefined;
		if (update.isCurrent || hasChanges) {
			this.#parts.onUpdate(update);
		}

		if (update.isCurrent) {
			this.#noteLeader(now);
			return;
		}

		const {leaderAddress} = update;
		if (leaderAddress !== '' && leaderAddress !== address && !this.#wasRecentlySilent(leaderAddress, now, IGNORE_SILENT_LEADER_MS)) {
			this.#parts.leader.redirect(leaderAddress);
			this.#cancelStream(stream);
			this.#connect();
			return;
		}

		if (update.isOutside && leaderAddress === '' && this.#isSkippable(now)) {
			this.#parts.leader.redirect('');
			this.#cancelStream(stream);
			this.#connect();
			return;
		}

		if (now - this.#connectedAt > MAX_LEADERLESS_MS) {
			this.#parts.leader.redirect('');
			this.#reconnect(stream);
			return;
		}

		// A voter that names no leader is sent reports until it names one.
		this.#leaderQueries.schedule();
	}

	#noteLeader(now: number): void {
		if (!this.#hasLeader) {
			this.#hasLeader = true;
			this.#parts.logger.info({event: 'leader-followed', address: this.#address, leaderlessMs: Math.round(now - this.#lastLedAt)}, 'established a session with the leader');
		}

		this.#lastLedAt = now;
	}

	/**
	 * Counts a voter outside the quorum in the current or a new round. Returns true if the voter is to be skipped, false if it is the last of the
	 * round.
	 */
	#isSkippable(now: number): boolean {
		if (now - this.#outsideRound.since > OUTSIDE_ROUND_MS) {
			this.#outsideRound = {since: now, skippedCount: 0};
		}

		this.#outsideRound.skippedCount += 1;
		return this.#outsideRound.skippedCount < this.#parts.leader.voterAddressCount;
	}

	#cancelStream(stream: SessionStream): void {
		this.#stream = undefined;
		stream.cancel();
	}

	#reconnect(stream: SessionStream): void {
		if (stream !== this.#stream || this.#isStopped) {
			return;
		}

		this.#cancelStream(stream);
		this.#parts.timers.after(RECONNECT_MS, () => {
			this.#connect();
		});
	}
}
