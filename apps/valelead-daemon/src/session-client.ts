import {
	type Clock, type TimerService, type TimerSubscription, Coalescer,
} from '@valelead/common';
import {
	type ChannelPool, type LeaderCalls, type SessionReport, type SessionUpdate, Control,
} from '@valelead/protocol';
import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {Logger} from 'pino';

type SessionStream = ClientDuplexStream<SessionReport, SessionUpdate>;

type SessionParts = {
	readonly pool: ChannelPool;
	readonly leader: LeaderCalls;
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly heartbeatMs: number;
	/** @param isFirst - Whether it begins a session, so that the voter knows nothing of this process. */
	readonly newReport: (sentAt: number, isFirst: boolean) => SessionReport;
	readonly onUpdate: (update: SessionUpdate) => void;
};

/** The shortest time between two reports, in milliseconds. */
const COALESCE_MS = 3;

const RECONNECT_MS = 100;

/** A leader that left a report unanswered is given up at the second heartbeat after it last answered. */
const SILENT_HEARTBEATS = 1.9;

/** A heartbeat that comes later than this after its time shows that this process stood still, in milliseconds. */
const STALL_MS = 200;

/** A voter that says nothing on a new stream for this long is passed over, in milliseconds. */
const FIRST_WORD_MS = 700;

/** How soon a voter that names no leader is asked again, in milliseconds. */
const ASK_AGAIN_MS = 150;

/**
 * Voters that say that they are outside of the quorum are passed over at once, each one once in this time, in milliseconds: a heartbeat. After that the last
 * one is asked as any other, as an election may be over soon.
 */
const ROUND_MS = 500;

/** A voter that names no leader for this long may be cut off itself, in milliseconds: two of its election timeouts. */
const LEADERLESS_MS = 2000;

/**
 * How long a voter that fell silent is not followed on the word of another one, in milliseconds. That one believes in a dead leader for two election
 * timeouts, 1.4 s, and the leader is given up half a second after its death at the earliest: 0.9 s are left, and a tick. Longer distrust would keep this
 * process from a leader that only stood still.
 */
const DISTRUST_MS = 1000;

/**
 * How long a voter that fell silent is left out when the list is gone through, in milliseconds: elections that split some times are over by then. Each dead
 * voter that is tried costs the time for a first word, and one that came back is named by others.
 */
const LEFT_OUT_MS = 5000;

/** Keeps a session with the leader: reports at each heartbeat and at once when asked, and finds a new leader. */
export class SessionClient {
	readonly #parts: SessionParts;
	#stream: SessionStream | undefined;
	#heardAt = 0;
	#beatAt: number;
	#connectedAt = 0;
	#address = '';
	/** When a leader last answered, in any session; when this process started, before the first. */
	#ledAt: number;
	#isLed = false;
	/** Voters that fell silent, and when each was given up: several may be lost at once. */
	readonly #silent = new Map<string, number>();
	/** When the present round through voters outside of the quorum began, and how many were passed over in it. */
	#round = {since: Number.NEGATIVE_INFINITY, passed: 0};
	readonly #reports: Coalescer;
	readonly #questions: Coalescer;
	#isStopped = false;
	#heartbeats: TimerSubscription | undefined;

	constructor(parts: SessionParts) {
		this.#parts = parts;
		this.#ledAt = parts.clock.now();
		this.#beatAt = this.#ledAt;
		this.#reports = new Coalescer(parts.timers, COALESCE_MS, () => {
			this.#report();
		});
		this.#questions = new Coalescer(parts.timers, ASK_AGAIN_MS, () => {
			this.#report();
		});
	}

	start(): void {
		this.#heartbeats = this.#parts.timers.repeat(this.#parts.heartbeatMs, now => {
			this.#beat(now);
		});
		this.#connect();
	}

	stop(): void {
		this.#isStopped = true;
		this.#heartbeats?.cancel();
		this.#stream?.end();
	}

	/** Reports soon, together with what else changes until then. */
	reportSoon(): void {
		this.#reports.schedule();
	}

	#beat(now: number): void {
		// What the voter said while this process stood still has not been read yet.
		const wasStalled = now - this.#beatAt > this.#parts.heartbeatMs + STALL_MS;
		this.#beatAt = now;
		if (this.#stream && !wasStalled && now - this.#heardAt > this.#parts.heartbeatMs * SILENT_HEARTBEATS) {
			this.#giveUp(this.#stream, now);
			return;
		}

		this.#report();
	}

	/** Leaves a voter that answers nothing, and its connection, for the next one. */
	#giveUp(stream: SessionStream, now: number): void {
		this.#parts.logger.warn({event: 'leader-silent', address: this.#address, silentMs: Math.round(now - this.#heardAt)}, 'leader silent, trying another voter');
		this.#silent.set(this.#address, now);
		this.#parts.leader.redirect('');
		this.#parts.pool.reset(this.#address);
		this.#leave(stream);
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
		this.#passOverSilent();
		const {address} = leader;
		const stream = pool.get(address).bidiStream(Control.method.session);
		this.#stream = stream;
		this.#address = address;
		this.#connectedAt = clock.now();
		this.#heardAt = this.#connectedAt;
		this.#isLed = false;
		let isHeard = false;
		stream.on('data', (update: SessionUpdate) => {
			isHeard = true;
			if (stream === this.#stream) {
				this.#take(stream, address, update);
			}
		});
		stream.on('error', () => {
			// One that was left ends so too, after the next one has begun.
			if (stream === this.#stream) {
				leader.redirect('');
				this.#reconnect(stream);
			}
		});
		stream.on('end', () => {
			this.#reconnect(stream);
		});
		this.#report(true);
		const giveUpUnheard = (dueAt: number) => (now: number): void => {
			if (isHeard || stream !== this.#stream) {
				return;
			}

			if (now > dueAt + STALL_MS) {
				timers.after(FIRST_WORD_MS, giveUpUnheard(now + FIRST_WORD_MS));
			} else {
				this.#giveUp(stream, now);
			}
		};

		timers.after(FIRST_WORD_MS, giveUpUnheard(this.#connectedAt + FIRST_WORD_MS));
	}

	/** Goes on in the list to a voter that did not fall silent lately, if there is one. */
	#passOverSilent(): void {
		const {leader, clock} = this.#parts;
		if (leader.isNamed) {
			return;
		}

		const now = clock.now();
		for (let tried = 0; tried < leader.count && this.#wasSilent(leader.address, now); tried += 1) {
			leader.redirect('');
		}
	}

	#wasSilent(address: string, now: number, withinMs = LEFT_OUT_MS): boolean {
		return now - (this.#silent.get(address) ?? Number.NEGATIVE_INFINITY) < withinMs;
	}

	#take(stream: SessionStream, address: string, update: SessionUpdate): void {
		const now = this.#parts.clock.now();
		this.#heardAt = now;
		this.#silent.delete(address);
		const hasNews = update.routing !== undefined || update.quarantine !== undefined;
		if (update.isCurrent || hasNews) {
			this.#parts.onUpdate(update);
		}

		if (update.isCurrent) {
			this.#noteLed(now);
			return;
		}

		const {leaderAddress} = update;
		if (leaderAddress !== '' && leaderAddress !== address && !this.#wasSilent(leaderAddress, now, DISTRUST_MS)) {
			this.#parts.leader.redirect(leaderAddress);
			this.#leave(stream);
			this.#connect();
			return;
		}

		if (update.isOutside && leaderAddress === '' && this.#mayPassOver(now)) {
			this.#parts.leader.redirect('');
			this.#leave(stream);
			this.#connect();
			return;
		}

		if (now - this.#connectedAt > LEADERLESS_MS) {
			this.#parts.leader.redirect('');
			this.#reconnect(stream);
			return;
		}

		// A voter that names no leader is asked until it does.
		this.#questions.schedule();
	}

	#noteLed(now: number): void {
		if (!this.#isLed) {
			this.#isLed = true;
			this.#parts.logger.info({event: 'leader-followed', address: this.#address, leaderlessMs: Math.round(now - this.#ledAt)}, 'a session with the leader has begun');
		}

		this.#ledAt = now;
	}

	/** Whether a round through all voters is not over yet, or the next one is due. */
	#mayPassOver(now: number): boolean {
		if (now - this.#round.since > ROUND_MS) {
			this.#round = {since: now, passed: 0};
		}

		this.#round.passed += 1;
		return this.#round.passed < this.#parts.leader.count;
	}

	#leave(stream: SessionStream): void {
		this.#stream = undefined;
		stream.cancel();
	}

	#reconnect(stream: SessionStream): void {
		if (stream !== this.#stream || this.#isStopped) {
			return;
		}

		this.#leave(stream);
		this.#parts.timers.after(RECONNECT_MS, () => {
			this.#connect();
		});
	}
}
