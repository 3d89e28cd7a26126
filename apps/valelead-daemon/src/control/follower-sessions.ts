import {create} from '@bufbuild/protobuf';
import {SYSTEM_CLOCK, type TimerService} from '@valelead/common';
import {type Upstream, getChangesSince} from '@valelead/discovery';
import {
	type FollowerReport, type SessionReport, type SessionUpdate, SessionUpdateSchema, UpstreamRecordSchema,
} from '@valelead/protocol';
import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {UpstreamRegistry} from './upstream-registry.js';
import type {Voter} from './voter.js';

type SessionStream = ServerDuplexStream<SessionReport, SessionUpdate>;

type FollowerSession = {
	readonly stream: SessionStream;
	readonly role: string;
	heardAt: number;
	sentAt: number;
	routingVersion: number;
	epoch: string;
	directoryVersion: number;
};

/** The longest time that a change waits for others to go with it, in milliseconds. */
const COALESCE_MS = 5;

/** A gateway that was silent for longer does not count among those that share budgets, in milliseconds. */
const GATEWAY_SILENCE_MS = 5000;

const GATEWAY_ROLE = 'gateway';

/** Sends routing and directory to the gateways and sidecars that follow this voter while it leads. */
export class FollowerSessions {
	readonly #voter: Voter;
	readonly #registry: UpstreamRegistry;
	readonly #timers: TimerService;
	readonly #sessions = new Map<SessionStream, FollowerSession>();
	#isPushDue = false;

	constructor(voter: Voter, registry: UpstreamRegistry, timers: TimerService) {
		this.#voter = voter;
		this.#registry = registry;
		this.#timers = timers;
	}

	start(): void {
		this.#voter.machine.subscribe(() => {
			this.pushSoon();
		});
	}

	/** Takes the first report of a session; the later ones come from its stream. */
	take(stream: SessionStream, report: FollowerReport): void {
		const known = this.#sessions.get(stream);
		if (known) {
			this.#takeReport(known, report);
			return;
		}

		const session = {
			stream,
			role: report.role,
			heardAt: 0,
			sentAt: 0,
			routingVersion: report.routingVersion,
			epoch: report.directoryEpoch,
			directoryVersion: report.directoryVersion,
		};
		this.#sessions.set(stream, session);
		const end = (): void => {
			this.#sessions.delete(stream);
		};

		stream.on('end', end);
		stream.on('error', end);
		stream.on('cancelled', end);
		this.#takeReport(session, report);
	}

	/** Sends what changed once the changes of this moment are together. */
	pushSoon(): void {
		if (this.#isPushDue) {
			return;
		}

		this.#isPushDue = true;
		this.#timers.after(COALESCE_MS, () => {
			this.#isPushDue = false;
			this.#push();
		});
	}

	#takeReport(session: FollowerSession, report: FollowerReport): void {
		session.heardAt = SYSTEM_CLOCK.now();
		session.sentAt = report.sentAt;
		if (this.#voter.node?.isCurrentLeader) {
			this.#send(session);
			return;
		}

		session.stream.write(create(SessionUpdateSchema, {isCurrent: false, leaderAddress: this.#voter.leaderAddress}));
	}

	#push(): void {
		if (!this.#voter.node?.isCurrentLeader) {
			return;
		}

		for (const session of this.#sessions.values()) {
			if (this.#hasNews(session)) {
				this.#send(session);
			}
		}
	}

	#hasNews(session: FollowerSession): boolean {
		const {epoch, directory} = this.#registry;
		const hasRouting = (this.#voter.machine.routing?.version ?? 0) > session.routingVersion;
		return hasRouting || session.epoch !== epoch || session.directoryVersion < directory.version;
	}

	#send(session: FollowerSession): void {
		const {routing} = this.#voter.machine;
		const {epoch, directory} = this.#registry;
		const isWhole = session.epoch !== epoch;
		const hasRouting = routing !== undefined && routing.version > session.routingVersion;
		session.stream.write(create(SessionUpdateSchema, {
			sentAt: session.sentAt,
			isCurrent: true,
			...(hasRouting && {routing}),
			directory: {
				epoch,
				version: directory.version,
				isWhole,
				upstreams: this.#getUpstreams(session, isWhole).map(upstream => create(UpstreamRecordSchema, upstream as never)),
				gatewayCount: this.#countGateways(),
			},
			voterAddresses: this.#voter.node!.voters.map(voter => voter.address),
		}));
		session.routingVersion = hasRouting ? routing.version : session.routingVersion;
		session.epoch = epoch;
		session.directoryVersion = directory.version;
	}

	#getUpstreams(session: FollowerSession, isWhole: boolean): Upstream[] {
		return getChangesSince(this.#registry.directory, isWhole ? 0 : session.directoryVersion);
	}

	#countGateways(): number {
		const now = SYSTEM_CLOCK.now();
		return [...this.#sessions.values()].filter(session => session.role === GATEWAY_ROLE && now - session.heardAt < GATEWAY_SILENCE_MS).length;
	}
}
