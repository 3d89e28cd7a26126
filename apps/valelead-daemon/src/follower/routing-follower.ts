import {Buffer} from 'node:buffer';
import {create, fromBinary} from '@bufbuild/protobuf';
import {
	type Clock, type SuspensionWatch, type TimerService, ValeleadError,
} from '@valelead/common';
import {
	type DirectoryCopy, type Upstream, mutateDirectoryCopy, mutateUnconfirmedUpstreams, newDirectoryCopy,
} from '@valelead/discovery';
import {
	type ChannelPool,
	type DirectoryDelta,
	type RoutingRecord,
	type SessionReport,
	type SessionUpdate,
	DirectoryDeltaSchema,
	EndedLeaseSchema,
	FollowerReportSchema,
	HeldLeaseSchema,
	LeaderClient,
	SessionReportSchema,
} from '@valelead/protocol';
import {type RouteTable, newRouteTable} from '@valelead/routing';
import type {Logger} from 'pino';
import type {ControlCodec} from '../adapter/control-codec.js';
import {SessionClient} from '../session-client.js';
import type {FollowerSettings} from '../settings/follower-settings.js';
import {getPeerAddresses} from './get-peer-addresses.js';
import type {CrashExchange} from './crash-exchange.js';
import type {FollowerContact} from './follower-contact.js';
import {encodeCrash} from './encode-crash.js';
import {encodeLimitReport} from './encode-limit-report.js';
import {encodeQuotaUsage} from './encode-quota-usage.js';
import {GatewayCount} from './gateway-count.js';
import {getUsableChanges} from './get-usable-changes.js';
import type {LimitExchange} from './limit-exchange.js';
import type {OrderLeaseExchange} from './order-lease-exchange.js';
import type {QuotaExchange} from './quota-exchange.js';
import type {TeamExchange} from './team-exchange.js';

type FollowerParts = {
	readonly settings: FollowerSettings;
	readonly codec: ControlCodec;
	readonly pool: ChannelPool;
	readonly timers: TimerService;
	readonly clock: Clock;
	/** Provides the time of the last suspension of this process and the total time lost in suspensions. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	readonly logger: Logger;
	readonly orderLeases: OrderLeaseExchange;
	/** Undefined in processes that send no requests to upstreams. */
	readonly crashes?: CrashExchange;
	readonly quotas?: QuotaExchange;
	readonly limits?: LimitExchange;
	/** Undefined in processes that dispatch no requests of teams, or if gateways count their own dispatches only. */
	readonly teams?: TeamExchange;
	/** Called when the leader has confirmed that the routing was the newest at the time of a report of this process. */
	readonly onConfirmed?: (askedAt: number) => void;
	/** Called with the addresses of all voters, with each update of the leader. */
	readonly onVoterAddresses?: (addresses: readonly string[]) => void;
	readonly onRouting: (table: RouteTable) => void;
	readonly onDirectory: (upstreams: readonly Upstream[]) => void;
};

/** Time in which a new leader has to confirm an upstream before it is dropped, in milliseconds: several intervals of the slowest announcements. */
const CONFIRM_MS = 8000;

const CHECK_MS = 1000;

/** Follows the leader: keeps the newest routing and the directory of upstreams that it sends. Neither is ever replaced by an older version. */
export class RoutingFollower {
	readonly #parts: FollowerParts;
	readonly #leader: LeaderClient;
	readonly #session: SessionClient;
	readonly #copy: DirectoryCopy = newDirectoryCopy();
	#table: RouteTable | undefined;
	/** True if the newest routing received could not be read, so that an older one is still in use. */
	#isUnreadable = false;
	readonly #gateways: GatewayCount;
	#reportedEngineCount = 0;
	#updatedAt: number;
	/** When this process made the report on which a leader last confirmed the routing, in monotonic milliseconds. */
	#confirmedAt: number | undefined;

	constructor(parts: FollowerParts) {
		this.#parts = parts;
		this.#gateways = new GatewayCount(parts);
		this.#updatedAt = parts.clock.now();
		this.#leader = new LeaderClient(parts.pool, getPeerAddresses(parts.settings), parts.timers);
		this.#session = new SessionClient({
			pool: parts.pool,
			leader: this.#leader,
			timers: parts.timers,
			clock: parts.clock,
			logger: parts.logger,
			heartbeatMs: parts.settings.heartbeatMs,
			newReport: (sentAt, isFirst) => this.#newReport(sentAt, isFirst),
			onUpdate: update => {
				this.#handleUpdate(update);
			},
		});
	}

	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** Number of gateways that share the budgets, including this one. */
	get gatewayCount(): number {
		return this.#gateways.value;
	}

	/** Since when this gateway has had a share of the common budgets, in monotonic milliseconds; undefined while no leader counts it. */
	get countedSince(): number | undefined {
		return this.#gateways.countedSince;
	}

	/** Number of shares into which the retry budget of all gateways is divided. */
	get retryShares(): number {
		return this.#gateways.shares;
	}

	/** True if no other gateway can have spent this gateway's share before the leader counted this one. */
	get isShareUnspent(): boolean {
		return this.#gateways.isUnspent;
	}

	/** Schedules a report to the leader, after something that is reported has changed. */
	scheduleReport(): void {
		this.#session.scheduleReport();
	}

	/** Time since the last update of the leader, in milliseconds. */
	get ageMs(): number {
		return this.#parts.clock.now() - this.#updatedAt;
	}

	get contact(): FollowerContact {
		return {
			voterAddress: this.#session.address,
			routingVersion: this.#table?.routing.version ?? 0,
			leaderAgeMs: Math.round(this.ageMs),
			confirmedAgeMs: this.#confirmedAt === undefined ? undefined : Math.round(this.#parts.clock.now() - this.#confirmedAt),
		};
	}

	start(): void {
		this.#session.start();
		this.#parts.timers.repeat(CHECK_MS, now => {
			if (mutateUnconfirmedUpstreams(this.#copy, CONFIRM_MS, now)) {
				this.#publishDirectory();
			}
		});
	}

	stop(): void {
		this.#session.stop();
	}

	#newReport(sentAt: number, isFirst: boolean): SessionReport {
		const {settings, orderLeases} = this.#parts;
		const {leases, endedLeases, keeperAddress, isStopping, attendedEngines} = orderLeases.getReport();
		// Their number only grows, and the leader remembers them for the session.
		const hasNewEngines = isFirst || attendedEngines.length !== this.#reportedEngineCount;
		this.#reportedEngineCount = attendedEngines.length;
		const crashReport = this.#parts.crashes?.getReport(isFirst);
		const limitReport = this.#parts.limits?.getReport(sentAt, isFirst);
		const value = create(FollowerReportSchema, {
			vm: settings.vm,
			sentAt,
			role: settings.role,
			routingVersion: this.#table?.routing.version ?? 0,
			directoryEpoch: this.#copy.epoch,
			directoryVersion: this.#copy.version,
			keeperAddress,
			isStopping,
			attendedEngines: hasNewEngines ? attendedEngines : [],
			leases: leases.map(lease => create(HeldLeaseSchema, lease)),
			endedLeases: endedLeases.map(lease => create(EndedLeaseSchema, lease)),
			crashes: crashReport?.crashes.map(crash => encodeCrash(crash)) ?? [],
			served: crashReport?.served.map(fingerprint => Buffer.from(fingerprint, 'hex')) ?? [],
			quarantineVersion: crashReport?.quarantineVersion ?? 0,
			gatewayCount: this.#gateways.value,
			quotaUsages: this.#parts.quotas?.getReport(isFirst).map(usage => encodeQuotaUsage(usage)) ?? [],
			teamDispatches: this.#parts.teams?.getReport(sentAt, isFirst) ?? [],
			...(limitReport && encodeLimitReport(limitReport, sentAt)),
		});
		return create(SessionReportSchema, {report: {case: 'follower', value}});
	}

	/** Processes an update. A voter that is not the leader may send a routing too, because it sends committed routings only. */
	#handleUpdate(update: SessionUpdate): void {
		const hadTable = this.#table !== undefined;
		if (update.routing) {
			this.#applyRouting(update.routing);
		}

		if (update.quarantine) {
			this.#parts.crashes?.applyQuarantine(update.quarantine, update.isCurrent);
		}

		if (!update.isCurrent) {
			return;
		}

		this.#updatedAt = this.#parts.clock.now();
		this.#parts.crashes?.noteReported(update.sentAt, update.isCrashLeaseGranted);
		this.#parts.crashes?.noteReachableGatewaysApplied(update.crashesKnownUntil);
		this.#parts.crashes?.noteAllGatewaysApplied(update.crashesObeyedUntil);
		this.#leader.updateVoterAddresses(update.voterAddresses);
		this.#parts.onVoterAddresses?.(update.voterAddresses);
		this.#parts.orderLeases.handleUpdate({
			leases: update.leases, ordersFromMs: update.ordersFromMs, holdersKnownInMs: update.holdersKnownInMs, reportedAt: update.sentAt,
		});
		this.#handleGrants(update);
		this.#gateways.handleUpdate({
			count: update.gatewayCount,
			askedAt: update.sentAt,
			isServing: this.#table !== undefined,
			unspentShares: hadTable ? 0 : update.unspentShares,
			budgetShares: update.budgetShares,
		});
		if (update.directory.length > 0) {
			this.#applyDirectory(fromBinary(DirectoryDeltaSchema, update.directory));
		}

		if (update.isReportWanted) {
			this.#session.scheduleReport();
		}
	}

	#handleGrants({isRoutingConfirmed, quotaGrant, upstreamLimits, limitGrant, teamTotals, sentAt}: SessionUpdate): void {
		if (isRoutingConfirmed && !this.#isUnreadable) {
			this.#confirmedAt = sentAt;
			this.#parts.onConfirmed?.(sentAt);
		}

		if (quotaGrant) {
			this.#parts.quotas?.handleUpdate({...quotaGrant, reportedAt: sentAt});
		}

		if (upstreamLimits ?? limitGrant) {
			this.#parts.limits?.handleUpdate({limits: upstreamLimits, grant: limitGrant, reportedAt: sentAt});
		}

		this.#parts.teams?.handleUpdate({totals: teamTotals, reportedAt: sentAt});
	}

	#applyRouting({version, document}: RoutingRecord): void {
		const before = this.#table?.routing.version ?? 0;
		if (version <= before) {
			return;
		}

		try {
			const routing = this.#parts.codec.decodeRouting(document);
			this.#table = newRouteTable(routing);
			this.#isUnreadable = false;
			this.#parts.logger.info({
				event: 'routing-in-force', version, before, routes: routing.routes.length,
			}, 'routing in force');
			this.#parts.onRouting(this.#table);
		} catch (error) {
			this.#isUnreadable = true;
			const code = error instanceof ValeleadError ? error.code : undefined;
			this.#parts.logger.error({
				event: 'routing-unreadable', version, before, code, reason: (error as Error).message,
			}, 'a committed routing cannot be read; the previous one stays in force');
		}
	}

	#applyDirectory(delta: DirectoryDelta): void {
		if (mutateDirectoryCopy(this.#copy, {...delta, upstreams: getUsableChanges(delta.upstreams)}, this.#parts.clock.now())) {
			this.#publishDirectory();
		}
	}

	#publishDirectory(): void {
		this.#parts.onDirectory([...this.#copy.upstreams.values()].map(entry => entry.upstream));
	}
}
