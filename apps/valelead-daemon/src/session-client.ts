import {
	type Clock, type TimerService, type TimerSubscription,
} from '@valelead/common';
import {
	type ChannelPool, type LeaderCalls, type SessionReport, type SessionUpdate, Control,
} from '@valelead/protocol';
import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {Logger} from 'pino';

type SessionParts = {
	readonly pool: ChannelPool;
	readonly leader: LeaderCalls;
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly heartbeatMs: number;
	readonly newReport: (sentAt: number) => SessionReport;
	readonly onUpdate: (update: SessionUpdate) => void;
};

/** The shortest time between two reports, in milliseconds. */
const COALESCE_MS = 3;

const RECONNECT_MS = 100;

/** A silent leader is given up after this many heartbeats. */
const SILENT_HEARTBEATS = 5;

/** Keeps a session with the leader: reports at each heartbeat and at once when asked, and finds a new leader. */
export class SessionClient {
	readonly #parts: SessionParts;
	#stream: ClientDuplexStream<SessionReport, SessionUpdate> | undefined;
	#heardAt = 0;
	#address = '';
	#isReportDue = false;
	#isStopped = false;
	#heartbeats: TimerSubscription | undefined;

	constructor(parts: SessionParts) {
		this.#parts = parts;
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
		if (this.#isReportDue || this.#isStopped) {
			return;
		}

		this.#isReportDue = true;
		this.#parts.timers.after(COALESCE_MS, () => {
			this.#isReportDue = false;
			this.#report();
		});
	}

	#beat(now: number): void {
		if (this.#stream && now - this.#heardAt > this.#parts.heartbeatMs * SILENT_HEARTBEATS) {
			this.#parts.logger.warn({event: 'leader-silent', address: this.#address, silentMs: Math.round(now - this.#heardAt)}, 'leader silent, trying another voter');
			this.#parts.leader.redirect('');
			this.#parts.pool.reset(this.#address);
			this.#reconnect(this.#stream);
			return;
		}

		this.#report();
	}

	#report(): void {
		if (this.#stream && !this.#isStopped) {
			this.#stream.write(this.#parts.newReport(this.#parts.clock.now()));
		}
	}

	#connect(): void {
		if (this.#isStopped) {
			return;
		}

		const {leader, pool} = this.#parts;
		const {address} = leader;
		const stream = pool.get(address).bidiStream(Control.method.session);
		this.#stream = stream;
		this.#address = address;
		this.#heardAt = this.#parts.clock.now();
		stream.on('data', (update: SessionUpdate) => {
			if (stream === this.#stream) {
				this.#take(stream, address, update);
			}
		});
		stream.on('error', () => {
			leader.redirect('');
			this.#reconnect(stream);
		});
		stream.on('end', () => {
			this.#reconnect(stream);
		});
		this.#report();
	}

	#take(stream: ClientDuplexStream<SessionReport, SessionUpdate>, address: string, update: SessionUpdate): void {
		this.#heardAt = this.#parts.clock.now();
		if (update.isCurrent) {
			this.#parts.onUpdate(update);
			return;
		}

		if (update.leaderAddress !== address) {
			this.#parts.leader.redirect(update.leaderAddress);
			this.#reconnect(stream);
		}
	}

	#reconnect(stream: ClientDuplexStream<SessionReport, SessionUpdate>): void {
		if (stream !== this.#stream || this.#isStopped) {
			return;
		}

		this.#stream = undefined;
		stream.cancel();
		this.#parts.timers.after(RECONNECT_MS, () => {
			this.#connect();
		});
	}
}
