import {create} from '@bufbuild/protobuf';
import {
	type Clock, Coalescer, SYSTEM_CLOCK, type TimerService,
} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import type {Loan} from '@valelead/quota';
import {
	type FollowerReport, type HeldLease, type QuarantineList, type UpstreamLimits, HeldLeaseSchema, SessionUpdateSchema,
} from '@valelead/protocol';
import type {BudgetShares} from './budget-shares.js';
import {DirectoryUpdates} from './directory-updates.js';
import {InitialRetryShares} from './initial-retry-shares.js';
import {GatewayRegistry} from './gateway-registry.js';
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
import {TeamRegistry} from './team-registry.js';
import type {UpstreamRegistry} from './upstream-registry.js';
import type {Voter} from './voter.js';

type SessionsParts = {
	readonly voter: Voter;
	readonly registry: Pick<UpstreamRegistry, 'epoch' | 'directory'>;
	readonly leases: OrderLeases;
	readonly quarantine: QuarantineRegistry;
	readonly gatewayLeases: GatewayLeases;
	readonly shares: Pick<BudgetShares, 'count' | 'note'>;
	readonly quotas: QuotaRegistry;
	readonly limits: Pick<LimitRegistry, 'version' | 'note' | 'getList' | 'newGrant'>;
	readonly watch: Pick<LeaderWatch, 'isOutside'>;
	readonly rollout: Pick<RoutingRollout, 'start' | 'noteCommitted' | 'noteConfirmed'>;
	readonly timers: TimerService;
	readonly clock?: Clock;
};

/** Loans that the leader grants in reply to a report. */
type NewLoans = {
	/** Loans of the teams' quotas. */
	readonly loans?: readonly Loan[] | undefined;
	/** Loans of requests to upstreams that announce a rate limit. */
	readonly sends?: readonly Loan[] | undefined;
};

/** Maximum time for which a change is delayed so that later changes are sent together with it, in milliseconds. */
const COALESCE_MS = 5;

/** A follower that reports again within this time gets a reply only if something has changed, in milliseconds. */
const MIN_REPLY_INTERVAL_MS = 100;

/** Interval between checks for silent gateways and expired leases, in milliseconds. */
const CHECK_MS = 250;

/** Maximum number of followers that are sent updates in one event-loop iteration, so that calls of operators and engines wait for milliseconds only. */
const PUSHES_PER_BATCH = 32;

/** Delay between two batches of updates, in milliseconds: the shortest after which a timer fires in a later event-loop iteration. */
const BATCH_GAP_MS = 1;

/**
 * A follower that has not confirmed a routing is sent no newer one for this time, in milliseconds. Routings that are sent faster than the connection or
 * the follower processes them would queue up. The time is limited because a routing that the follower cannot read is never confirmed.
 */
const ROUTING_CONFIRM_MS = 1000;

/**
 * Maximum number of crash reports kept per session while this voter is not the leader. A follower changes to another voter after a few reports, and its
 * first report has all crashes.
 */
const MAX_UNPROCESSED_REPORTS = 16;

/**
 * Time after the start of a term in which gateways find the new leader, in milliseconds. Until then a change is not acknowledged while a gateway that
 * followed the leader before is missing.
 */
const FIND_LEADER_MS = 1500;

const GATEWAY_ROLE = 'gateway';
const SIDECAR_ROLE = 'sidecar';

/** Sends the routing configuration and the upstream directory to the connected gateways and sidecars while this voter is the leader. */
export class FollowerSessions {
	readonly #voter: Voter;
	readonly #directoryUpdates: DirectoryUpdates;
	readonly #leases: OrderLeases;
	readonly #quarantine: QuarantineRegistry;
	readonly #gatewayLeases: GatewayLeases;
	readonly #quarantineRollout: QuarantineRollout;
	readonly #shares: SessionsParts['shares'];
	readonly #quotas: QuotaRegistry;
	readonly #limits: SessionsParts['limits'];
	readonly #watch: Pick<LeaderWatch, 'isOutside'>;
	readonly #rollout: SessionsParts['rollout'];
	readonly #timers: TimerService;
	readonly #clock: Clock;
	readonly #gatewayRegistry: GatewayRegistry;
	readonly #initialRetryShares: InitialRetryShares;
	readonly #teams: TeamRegistry;
	readonly #sessions = new Map<FollowerSession['stream'], FollowerSession>();
	readonly #confirmations: ConfirmationQueue;
	readonly #pushes: Coalescer;
	#nextSession = 1;

	constructor({voter, registry, leases, quarantine, gatewayLeases, shares, quotas, limits, watch, rollout, timers, clock = SYSTEM_CLOCK}: SessionsParts) {
		this.#voter = voter;
		this.#leases = leases;
		this.#quarantine = quarantine;
		this.#gatewayLeases = gatewayLeases;
		this.#shares = shares;
		this.#quotas = quotas;
		this.#limits = limits;
		this.#watch = watch;
		this.#rollout = rollout;
		this.#timers = timers;
		this.#clock = clock;
		this.#gatewayRegistry = new GatewayRegistry(clock);
		this.#initialRetryShares = new InitialRetryShares({
			clock,
			getTerm: () => voter.node?.term ?? 0,
			getFirstRoutingTerm() {
				const {firstRoutingIndex} = voter.machine;
				return firstRoutingIndex === undefined ? undefined : voter.node?.getTermAt(firstRoutingIndex);
			},
			getGatewayCount: () => this.#gatewayRegistry.count,
		});
		this.#teams = new TeamRegistry({getTerm: () => voter.node?.term ?? 0});
		this.#directoryUpdates = new DirectoryUpdates({registry, timers});
		this.#quarantineRollout = new QuarantineRollout({
			clock,
			timers,
			isLeading: () => this.#voter.node?.isCurrentLeader === true,
			getVersion: () => quarantine.version,
			getGateways: () => this.#gateways,
			hasStaleGateway: version => gatewayLeases.hasStaleGateway(version),
			onProgress: session => {
				this.#send(session);
			},
		});
		this.#confirmations = new ConfirmationQueue({
			timers, clock, getSessions: () => this.#sessions.values(), getMissingMs: () => gatewayLeases.getMissingMs(FIND_LEADER_MS),
		});
		this.#pushes = new Coalescer(timers, COALESCE_MS, () => {
			this.#push();
		});
	}

	start(): void {
		this.#directoryUpdates.start();
		this.#timers.repeat(CHECK_MS, () => {
			this.#gatewayRegistry.removeSilent();
			this.#noteGatewayCount();
			this.#checkLeases();
		});
		this.#rollout.start(() => this.#voter.node?.isCurrentLeader ? [...this.#sessions.values()] : []);
		this.#voter.machine.subscribe(() => {
			this.#rollout.noteCommitted(this.#progress.routingVersion);
			this.#initialRetryShares.refreshState();
			this.schedulePush();
		});
	}

	/** Processes a report of a follower; the first one on a stream opens a session. */
	handleReport(stream: FollowerSession['stream'], report: FollowerReport): void {
		const known = this.#sessions.get(stream);
		if (known) {
			this.#handleReport(known, report);
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
			teamTotals: {term: -1, counts: new Map()},
			confirmed: getProgress(report),
			unprocessedReports: [],
		};
		this.#nextSession += 1;
		this.#sessions.set(stream, session);
		const end = (): void => {
			this.#sessions.delete(stream);
			this.#confirmations.resolve();
			this.#gatewayLeases.noteSessionEnd(session);
			this.#quarantineRollout.noteSessionEnd(session);
			this.#checkLeases();
		};

		stream.on('end', end);
		stream.on('error', end);
		stream.on('cancelled', end);
		this.#handleReport(session, report);
	}

	/** Schedules an update of all followers; changes within the next few milliseconds are sent together. */
	schedulePush(): void {
		this.#pushes.schedule();
	}

	/**
	 * Sends an engine's announcement at once to the process that holds the order lease of the engine, because this process waits for the end of its last
	 * order. Other followers receive the announcement with the next update.
	 */
	sendToLeaseHolder(upstream: Upstream): void {
		const {epoch} = this.#directoryUpdates.progress;
		const holder = this.#leases.getLeaseHolder(upstream.address);
		for (const session of this.#sessions.values()) {
			if (session.vm === holder && session.sent.epoch === epoch) {
				const directory = this.#directoryUpdates.getUpstreamDelta(session.sent, upstream);
				session.stream.write(create(SessionUpdateSchema, {
					sentAt: session.sentAt, isCurrent: true, directory, gatewayCount: this.#gatewayRegistry.count, leases: this.#newLeases(session),
				}));
			}
		}
	}

	/**
	 * Resolves once every reachable follower has confirmed the present routing and directory, or after 300 ms. A change that is acknowledged after all
	 * have confirmed stays applied even if this voter fails right after the acknowledgement. A new leader also waits for the gateways that are still to
	 * find it, for 1.5 s from the start of its term.
	 */
	async waitForFollowers(): Promise<void> {
		const settled = this.#confirmations.wait(this.#progress);
		if (this.#confirmations.isWaiting) {
			this.schedulePush();
		}

		return settled;
	}

	get #gateways(): FollowerSession[] {
		return [...this.#sessions.values()].filter(session => session.role === GATEWAY_ROLE);
	}

	get #progress(): Progress {
		return {routingVersion: this.#voter.machine.routing?.version ?? 0, ...this.#directoryUpdates.progress};
	}

	/** The state that may be sent to followers, without a routing while the state machine is behind the log: a newer one may have been acknowledged. */
	get #sendableProgress(): Progress {
		return {...this.#progress, ...(!this.#voter.node?.canRead && {routingVersion: 0})};
	}

	#handleReport(session: FollowerSession, report: FollowerReport): void {
		const now = this.#clock.now();
		session.heardAt = now;
		session.sentAt = report.sentAt;
		if (session.role === GATEWAY_ROLE) {
			this.#gatewayRegistry.noteReport(session.vm);
			this.#noteGatewayCount();
		}

		this.#rollout.noteConfirmed(session.role, session.confirmed.routingVersion, report.routingVersion);
		session.confirmed = getProgress(report);
		session.quarantineConfirmed = report.quarantineVersion;
		for (const address of report.attendedEngines) {
			session.attendedEngines.add(address);
		}

		this.#leases.note(report, session.attendedEngines);
		this.#confirmations.resolve();
		if (!this.#voter.node?.isCurrentLeader) {
			this.#keepUnprocessed(session, report);
			this.#redirect(session);
			return;
		}

		this.#gatewayLeases.noteGatewayCount(report);
		if (session.role === GATEWAY_ROLE) {
			this.#gatewayLeases.noteReport(session);
			this.#initialRetryShares.noteReport(session, report);
			this.#teams.note(session.vm, report.teamDispatches);
		}

		this.#processCrashes(session, report);
		this.#quarantineRollout.noteReport(session, report);
		const loans = this.#quotas.note(session.id, report.quotaUsages);
		const sends = this.#limits.note(session.id, report);
		if (loans !== undefined || sends !== undefined || now - session.repliedAt > MIN_REPLY_INTERVAL_MS || this.#hasUpdates(session)) {
			this.#send(session, {loans, sends});
		}

		this.#pushOnceReadable();
	}

	/** Keeps a crash report: a follower reports all its crashes only at the start of a session, and this voter may become leader during the session. */
	#keepUnprocessed(session: FollowerSession, report: FollowerReport): void {
		if (report.crashes.length > 0 && session.unprocessedReports.length < MAX_UNPROCESSED_REPORTS) {
			session.unprocessedReports.push(report);
		}
	}

	#processCrashes(session: FollowerSession, report: FollowerReport): void {
		const {vm, crashes, served} = report;
		const held = session.unprocessedReports.splice(0).flatMap(other => other.crashes);
		this.#quarantine.note({vm, crashes: [...held, ...crashes], served});
	}

	#noteGatewayCount(): void {
		if (this.#voter.node?.isCurrentLeader) {
			this.#shares.note(this.#gatewayRegistry.count);
		}
	}

	/** Checks for expired leases, as no message announces that a lease has expired. */
	#checkLeases(): void {
		if (this.#voter.node?.isCurrentLeader) {
			this.#quarantine.refreshPaused();
			this.#quarantineRollout.checkPending();
		}
	}

	/** Schedules another update while the state is behind the log. It catches up within the time of a disk write, but no event announces this. */
	#pushOnceReadable(): void {
		if (!this.#voter.node?.canRead) {
			this.schedulePush();
		}
	}

	/**
	 * Redirects a follower to the leader and sends it committed state. Any voter may be behind the acknowledged state, so a follower gets its first
	 * routing from a leader only; a follower that has one can only receive newer versions. The quarantine list has no version by which a follower could
	 * recognise an older list, so a list loaded from the disk is not sent until a leader has brought this voter up to date.
	 */
	#redirect(session: FollowerSession): void {
		const {node, machine: {routing}, leaderAddress} = this.#voter;
		const isInformed = node?.hasRecoveredState === true;
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

		this.#pushTo([...this.#sessions.values()].filter(session => this.#hasUpdates(session)));
		this.#pushOnceReadable();
	}

	/** Sends updates in batches, so that calls that arrive meanwhile are served between two batches. */
	#pushTo(sessions: readonly FollowerSession[]): void {
		for (const session of sessions.slice(0, PUSHES_PER_BATCH)) {
			if (this.#hasUpdates(session)) {
				this.#send(session);
			}
		}

		if (sessions.length > PUSHES_PER_BATCH) {
			this.#timers.after(BATCH_GAP_MS, () => {
				this.#pushTo(sessions.slice(PUSHES_PER_BATCH));
			});
		}
	}

	#hasUpdates(session: FollowerSession): boolean {
		return isBehind(session.sent, this.#getTargetProgress(session)) || this.#isQuarantineBehind(session) || this.#isLimitsBehind(session);
	}

	/** Returns the state to send to a follower now. It has no newer routing while the last one sent is neither confirmed nor timed out. */
	#getTargetProgress({sent, confirmed, routingSentAt}: FollowerSession): Progress {
		const target = this.#sendableProgress;
		const isUnconfirmed = sent.routingVersion > confirmed.routingVersion && this.#clock.now() - routingSentAt < ROUTING_CONFIRM_MS;
		return isUnconfirmed ? {...target, routingVersion: Math.min(target.routingVersion, sent.routingVersion)} : target;
	}

	#send(session: FollowerSession, {loans, sends}: NewLoans = {}): void {
		const {routing} = this.#voter.machine;
		const due = this.#getTargetProgress(session);
		const hasNewRouting = routing !== undefined && due.routingVersion > session.sent.routingVersion;
		const isNewest = due.routingVersion === this.#sendableProgress.routingVersion;
		const quarantine = this.#newQuarantine(session);
		session.stream.write(create(SessionUpdateSchema, {
			sentAt: session.sentAt,
			isCurrent: true,
			...(hasNewRouting && {routing, unspentShares: session.role === GATEWAY_ROLE ? this.#initialRetryShares.claimShare(session) : 0}),
			directory: this.#directoryUpdates.getDelta(session.sent),
			gatewayCount: this.#gatewayRegistry.count,
			budgetShares: this.#shares.count,
			voterAddresses: this.#voter.node!.voters.map(voter => voter.address),
			isReportWanted: hasNewRouting || this.#confirmations.isWaiting || quarantine.quarantine !== undefined,
			leases: this.#newLeases(session),
			isRoutingConfirmed: isNewest && this.#voter.node!.canRead,
			...(session.role === GATEWAY_ROLE && {
				quotaGrant: this.#quotas.newGrant(session.id, loans),
				limitGrant: this.#limits.newGrant(session.id, sends),
				teamTotals: this.#teams.newTotals(session.vm, session.teamTotals),
			}),
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
		if (hasNewRouting) {
			this.#noteRoutingSent(session, due.routingVersion);
		}
	}

	#isLimitsBehind({role, limitsVersion}: FollowerSession): boolean {
		return role === GATEWAY_ROLE && limitsVersion !== this.#limits.version;
	}

	/** Returns the rate limits of upstreams if the gateway was sent an older version, and marks them as sent. */
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

	/** Returns the list of quarantined requests if the gateway was sent an older version, and marks it as sent. */
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
