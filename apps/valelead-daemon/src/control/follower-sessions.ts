import {create} from '@bufbuild/protobuf';
import {
	type Clock, Coalescer, SYSTEM_CLOCK, type TimerService,
} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import type {Loan} from '@valelead/quota';
import {
	type FollowerReport, type HeldLease, type QuarantineList, type UpstreamLimits, HeldLeaseSchema, SessionUpdateSchema,
} from '@valelead/protocol';
import {DirectoryNews} from './directory-news.js';
import {FirstShares} from './first-shares.js';
import {GatewayCensus} from './gateway-census.js';
import type {GatewayLeases} from './gateway-leases.js';
import {QuarantineRollout} from './quarantine-rollout.js';
import {ConfirmationQueue} from './confirmation-queue.js';
import {getProgress} from './get-progress.js';
import {isBehind} from './is-behind.js';
import type {FollowerSession} from './follower-session.js';
import type {Progress} from './progress.js';
import type {LeaderWatch} from './leader-watch.js';
import type {LimitRegistry} from './limit-registry.js';
import type {OrderLeases} from './order-leases.js';
import type {QuotaRegistry} from './quota-registry.js';
import type {QuarantineRegistry} from './quarantine-registry.js';
import type {RoutingRollout} from './routing-rollout.js';
import type {UpstreamRegistry} from './upstream-registry.js';
import type {Voter} from './voter.js';

type SessionsParts = {
	readonly voter: Voter;
	readonly registry: Pick<UpstreamRegistry, 'epoch' | 'directory'>;
	readonly leases: OrderLeases;
	readonly quarantine: QuarantineRegistry;
	readonly gatewayLeases: GatewayLeases;
	readonly quotas: QuotaRegistry;
	readonly limits: Pick<LimitRegistry, 'version' | 'note' | 'getList' | 'newGrant'>;
	readonly watch: Pick<LeaderWatch, 'isOutside'>;
	readonly rollout: Pick<RoutingRollout, 'start' | 'noteCommitted' | 'noteConfirmed'>;
	readonly timers: TimerService;
	readonly clock?: Clock;
};

/** What a report was lent. */
type NewLoans = {
	/** Of teams' quotas. */
	readonly loans?: readonly Loan[] | undefined;
	/** Requests to upstreams that limit them. */
	readonly sends?: readonly Loan[] | undefined;
};

/** The longest time that a change waits for others to go with it, in milliseconds. */
const COALESCE_MS = 5;

/** A follower that reports again within this time gets no reply unless there is news, in milliseconds. */
const REPLY_MS = 100;

/** How often silent gateways and leases that have run out are looked for, in milliseconds. */
const CHECK_MS = 250;

/** Followers that are sent news in one turn of the loop. Calls of operators and engines wait no longer than these take, some milliseconds. */
const PUSHES_A_TURN = 32;

/** Between two such turns, in milliseconds: the least after which a timer fires in a turn of its own. */
const TURN_GAP_MS = 1;

/**
 * A follower that has not confirmed a routing is sent no other one for this time, in milliseconds. Routings that come faster than a link or a follower takes
 * them would queue up before it. One that could not be read is never confirmed, so the time has an end.
 */
const ROUTING_CONFIRM_MS = 1000;

/** Reports of crashes that are held for a session; a follower stays with a voter that does not lead for some reports, and its first one holds all. */
const MAX_HELD_REPORTS = 16;

const GATEWAY_ROLE = 'gateway';
const SIDECAR_ROLE = 'sidecar';

/** Sends routing and directory to the gateways and sidecars that follow this voter while it leads. */
export class FollowerSessions {
	readonly #voter: Voter;
	readonly #news: DirectoryNews;
	readonly #leases: OrderLeases;
	readonly #quarantine: QuarantineRegistry;
	readonly #gatewayLeases: GatewayLeases;
	readonly #quarantineRollout: QuarantineRollout;
	readonly #quotas: QuotaRegistry;
	readonly #limits: SessionsParts['limits'];
	readonly #watch: Pick<LeaderWatch, 'isOutside'>;
	readonly #rollout: SessionsParts['rollout'];
	readonly #timers: TimerService;
	readonly #clock: Clock;
	readonly #census: GatewayCensus;
	readonly #firstShares: FirstShares;
	readonly #sessions = new Map<FollowerSession['stream'], FollowerSession>();
	readonly #settling: ConfirmationQueue;
	readonly #pushes: Coalescer;
	#nextSession = 1;

	constructor({voter, registry, leases, quarantine, gatewayLeases, quotas, limits, watch, rollout, timers, clock = SYSTEM_CLOCK}: SessionsParts) {
		this.#voter = voter;
		this.#leases = leases;
		this.#quarantine = quarantine;
		this.#gatewayLeases = gatewayLeases;
		this.#quotas = quotas;
		this.#limits = limits;
		this.#watch = watch;
		this.#rollout = rollout;
		this.#timers = timers;
		this.#clock = clock;
		this.#census = new GatewayCensus(clock);
		this.#firstShares = new FirstShares({
			clock,
			getTerm: () => voter.node?.term ?? 0,
			getFirstRoutingTerm() {
				const {firstRoutingIndex} = voter.machine;
				return firstRoutingIndex === undefined ? undefined : voter.node?.getTermAt(firstRoutingIndex);
			},
			getGatewayCount: () => this.#census.count,
		});
		this.#news = new DirectoryNews({registry, timers});
		this.#quarantineRollout = new QuarantineRollout({
			clock,
			timers,
			isLeading: () => this.#voter.node?.isCurrentLeader === true,
			getVersion: () => quarantine.version,
			getGateways: () => this.#gateways,
			isUnaware: version => gatewayLeases.isUnaware(version),
			onKnown: session => {
				this.#send(session);
			},
		});
		this.#settling = new ConfirmationQueue({timers, clock, getSessions: () => this.#sessions.values()});
		this.#pushes = new Coalescer(timers, COALESCE_MS, () => {
			this.#push();
		});
	}

	start(): void {
		this.#news.start();
		this.#timers.repeat(CHECK_MS, () => {
			this.#census.forgetSilent();
			this.#checkLeases();
		});
		this.#rollout.start(() => this.#voter.node?.isCurrentLeader ? [...this.#sessions.values()] : []);
		this.#voter.machine.subscribe(() => {
			this.#rollout.noteCommitted(this.#progress.routingVersion);
			this.#firstShares.noteState();
			this.pushSoon();
		});
	}

	/** Takes the first report of a session; the later ones come from its stream. */
	take(stream: FollowerSession['stream'], report: FollowerReport): void {
		const known = this.#sessions.get(stream);
		if (known) {
			this.#takeReport(known, report);
			return;
		}

		const session: FollowerSession = {
			id: `${report.vm}#${this.#nextSession}`,
			stream,
			vm: report.vm,
			role: report.role,
			attendedEngines: new Set(),
			heardAt: 0,
			sentAt: 0,
			repliedAt: Number.NEGATIVE_INFINITY,
			sent: getProgress(report),
			routingSentAt: Number.NEGATIVE_INFINITY,
			quarantineVersion: 0,
			quarantineConfirmed: 0,
			crashesKnownUntil: 0,
			crashesObeyedUntil: 0,
			limitsVersion: 0,
			confirmed: getProgress(report),
			unprocessedReports: [],
		};
		this.#nextSession += 1;
		this.#sessions.set(stream, session);
		const end = (): void => {
			this.#sessions.delete(stream);
			this.#settling.resolve();
			this.#gatewayLeases.forget(session);
			this.#quarantineRollout.forget(session);
			this.#checkLeases();
		};

		stream.on('end', end);
		stream.on('error', end);
		stream.on('cancelled', end);
		this.#takeReport(session, report);
	}

	/** Sends what changed once the changes of this moment are together. */
	pushSoon(): void {
		this.#pushes.schedule();
	}

	/**
	 * Tells the process that gives an engine its orders what the engine announced, at once: it waits for the end of its last order. Others
	 * hear of it with what else changes.
	 */
	tellHolder(upstream: Upstream): void {
		const {epoch} = this.#news.progress;
		const holder = this.#leases.getHolder(upstream.address);
		for (const session of this.#sessions.values()) {
			if (session.vm === holder && session.sent.epoch === epoch) {
				const directory = this.#news.getSingleDelta(session.sent, upstream);
				session.stream.write(create(SessionUpdateSchema, {
					sentAt: session.sentAt, isCurrent: true, directory, gatewayCount: this.#census.count, leases: this.#newLeases(session),
				}));
			}
		}
	}

	/**
	 * Resolves once every follower that is heard holds the present routing and directory, or after a short while. What is
	 * acknowledged after it is obeyed even if this voter dies with its acknowledgement.
	 */
	async settle(): Promise<void> {
		const settled = this.#settling.wait(this.#progress);
		if (this.#settling.isWaiting) {
			this.pushSoon();
		}

		return settled;
	}

	get #gateways(): FollowerSession[] {
		return [...this.#sessions.values()].filter(session => session.role === GATEWAY_ROLE);
	}

	get #progress(): Progress {
		return {routingVersion: this.#voter.machine.routing?.version ?? 0, ...this.#news.progress};
	}

	/** What followers may be told: no routing while the state is behind the log, as a newer one may have been acknowledged. */
	get #tellable(): Progress {
		return {...this.#progress, ...(!this.#voter.node?.canRead && {routingVersion: 0})};
	}

	#takeReport(session: FollowerSession, report: FollowerReport): void {
		const now = this.#clock.now();
		session.heardAt = now;
		session.sentAt = report.sentAt;
		if (session.role === GATEWAY_ROLE) {
			this.#census.note(session.vm);
		}

		this.#rollout.noteConfirmed(session.role, session.confirmed.routingVersion, report.routingVersion);
		session.confirmed = getProgress(report);
		session.quarantineConfirmed = report.quarantineVersion;
		for (const address of report.attendedEngines) {
			session.attendedEngines.add(address);
		}

		this.#leases.note(report, session.attendedEngines);
		this.#settling.resolve();
		if (!this.#voter.node?.isCurrentLeader) {
			this.#hold(session, report);
			this.#redirect(session);
			return;
		}

		this.#gatewayLeases.noteCount(report);
		if (session.role === GATEWAY_ROLE) {
			this.#gatewayLeases.note(session);
			this.#firstShares.note(session, report);
		}

		this.#noteCrashes(session, report);
		this.#quarantineRollout.note(session, report);
		const loans = this.#quotas.note(session.id, report.quotaUsages);
		const sends = this.#limits.note(session.id, report);
		if (loans !== undefined || sends !== undefined || now - session.repliedAt > REPLY_MS || this.#hasNews(session)) {
			this.#send(session, {loans, sends});
		}

		this.#pushOnceReadable();
	}

	/** A follower tells all the crashes that it holds with its first report only, and this voter may come to lead while the session lasts. */
	#hold(session: FollowerSession, report: FollowerReport): void {
		if (report.crashes.length > 0 && session.unprocessedReports.length < MAX_HELD_REPORTS) {
			session.unprocessedReports.push(report);
		}
	}

	#noteCrashes(session: FollowerSession, report: FollowerReport): void {
		const {vm, crashes, served} = report;
		const held = session.unprocessedReports.splice(0).flatMap(other => other.crashes);
		this.#quarantine.note({vm, crashes: [...held, ...crashes], served});
	}

	/** Leases run out without a word. */
	#checkLeases(): void {
		if (this.#voter.node?.isCurrentLeader) {
			this.#quarantine.notePaused();
			this.#quarantineRollout.settle();
		}
	}

	/** A state that is behind its log holds all within the time of a write to the disk; nothing else tells when. */
	#pushOnceReadable(): void {
		if (!this.#voter.node?.canRead) {
			this.pushSoon();
		}
	}

	/**
	 * Names the leader, and passes on what this voter knows to be committed. Any voter may be behind what was acknowledged, so the first routing of a
	 * follower comes from a leader; one that has a routing is only ever led further. A quarantine has no version that would tell it from an older one, so
	 * one that was read from the disk is kept back until a leader has brought it up to date.
	 */
	#redirect(session: FollowerSession): void {
		const {node, machine: {routing}, leaderAddress} = this.#voter;
		const isInformed = node?.isInformed === true;
		const isNewer = isInformed && session.confirmed.routingVersion > 0 && routing !== undefined && routing.version > session.sent.routingVersion;
		session.stream.write(create(SessionUpdateSchema, {
			isCurrent: false, leaderAddress, isOutside: this.#watch.isOutside, ...(isNewer && {routing}), ...(isInformed && this.#newQuarantine(session)),
		}));
		if (isNewer) {
			this.#noteRoutingSent(session, routing.version);
		}
	}

	#noteRoutingSent(session: FollowerSession, routingVersion: number): void {
		session.sent = {...session.sent, routingVersion};
		session.routingSentAt = this.#clock.now();
	}

	#push(): void {
		if (!this.#voter.node?.isCurrentLeader) {
			return;
		}

		this.#pushTo([...this.#sessions.values()].filter(session => this.#hasNews(session)));
		this.#pushOnceReadable();
	}

	/** Sends news to some sessions at a time, so that calls which came meanwhile are answered between them. */
	#pushTo(sessions: readonly FollowerSession[]): void {
		for (const session of sessions.slice(0, PUSHES_A_TURN)) {
			if (this.#hasNews(session)) {
				this.#send(session);
			}
		}

		if (sessions.length > PUSHES_A_TURN) {
			this.#timers.after(TURN_GAP_MS, () => {
				this.#pushTo(sessions.slice(PUSHES_A_TURN));
			});
		}
	}

	#hasNews(session: FollowerSession): boolean {
		return isBehind(session.sent, this.#getDue(session)) || this.#isQuarantineBehind(session) || this.#isLimitsBehind(session);
	}

	/** What a follower is to be told now: no newer routing while the last one is on its way. */
	#getDue({sent, confirmed, routingSentAt}: FollowerSession): Progress {
		const target = this.#tellable;
		const isOnItsWay = sent.routingVersion > confirmed.routingVersion && this.#clock.now() - routingSentAt < ROUTING_CONFIRM_MS;
		return isOnItsWay ? {...target, routingVersion: Math.min(target.routingVersion, sent.routingVersion)} : target;
	}

	#send(session: FollowerSession, {loans, sends}: NewLoans = {}): void {
		const {routing} = this.#voter.machine;
		const due = this.#getDue(session);
		const hasRouting = routing !== undefined && due.routingVersion > session.sent.routingVersion;
		const isNewest = due.routingVersion === this.#tellable.routingVersion;
		const quarantine = this.#newQuarantine(session);
		session.stream.write(create(SessionUpdateSchema, {
			sentAt: session.sentAt,
			isCurrent: true,
			...(hasRouting && {routing, unspentShares: session.role === GATEWAY_ROLE ? this.#firstShares.take(session) : 0}),
			directory: this.#news.getDelta(session.sent),
			gatewayCount: this.#census.count,
			voterAddresses: this.#voter.node!.voters.map(voter => voter.address),
			isReportWanted: hasRouting || this.#settling.isWaiting || quarantine.quarantine !== undefined,
			leases: this.#newLeases(session),
			isRoutingConfirmed: isNewest && this.#voter.node!.canRead,
			...(session.role === GATEWAY_ROLE && {quotaGrant: this.#quotas.newGrant(session.id, loans), limitGrant: this.#limits.newGrant(session.id, sends)}),
			...this.#newLimits(session),
			...quarantine,
			crashesKnownUntil: session.crashesKnownUntil,
			crashesObeyedUntil: session.crashesObeyedUntil,
			isCrashLeaseGranted: this.#gatewayLeases.isGranted(session),
			...(session.role === SIDECAR_ROLE && {
				ordersFromMs: this.#leases.getSidecarDelayMs([...session.attendedEngines]), holdersKnownInMs: this.#leases.holdersKnownMs,
			}),
		}));
		session.repliedAt = this.#clock.now();
		session.sent = {...due, routingVersion: session.sent.routingVersion};
		if (hasRouting) {
			this.#noteRoutingSent(session, due.routingVersion);
		}
	}

	#isLimitsBehind({role, limitsVersion}: FollowerSession): boolean {
		return role === GATEWAY_ROLE && limitsVersion !== this.#limits.version;
	}

	/** The limits of upstreams for a gateway that does not know the newest. */
	#newLimits(session: FollowerSession): {upstreamLimits?: UpstreamLimits} {
		if (!this.#isLimitsBehind(session)) {
			return {};
		}

		session.limitsVersion = this.#limits.version;
		return {upstreamLimits: this.#limits.getList()};
	}

	#isQuarantineBehind({role, quarantineVersion}: FollowerSession): boolean {
		return role === GATEWAY_ROLE && quarantineVersion !== this.#quarantine.version;
	}

	/** The list of quarantined requests for a gateway that does not know the newest. */
	#newQuarantine(session: FollowerSession): {quarantine?: QuarantineList} {
		if (!this.#isQuarantineBehind(session)) {
			return {};
		}

		session.quarantineVersion = this.#quarantine.version;
		return {quarantine: this.#quarantine.getList()};
	}

	#newLeases({vm}: FollowerSession): HeldLease[] {
		return this.#leases.getGrants(vm).map(lease => create(HeldLeaseSchema, lease));
	}
}
