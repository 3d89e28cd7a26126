import {Buffer} from 'node:buffer';
import {create, fromBinary} from '@bufbuild/protobuf';
import {
	type Clock, type SuspensionWatch, type TimerService, ValeleadError,
} from '@valelead/common';
import {
	type DirectoryCopy, type Upstream, type UpstreamChange, mutateDirectoryCopy, mutateUnconfirmed, newDirectoryCopy,
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
	LeaderCalls,
	SessionReportSchema,
} from '@valelead/protocol';
import {type RouteTable, newRouteTable} from '@valelead/routing';
import type {Logger} from 'pino';
import type {ControlCodec} from '../adapter/control-codec.js';
import {SessionClient} from '../session-client.js';
import type {FollowerSettings} from '../settings/follower-settings.js';
import {getPeerAddresses} from './get-peer-addresses.js';
import type {CrashExchange} from './crash-exchange.js';
import {encodeCrash} from './encode-crash.js';
import {encodeLimitReport} from './encode-limit-report.js';
import {encodeQuotaUsage} from './encode-quota-usage.js';
import {GatewayCount} from './gateway-count.js';
import type {LimitExchange} from './limit-exchange.js';
import type {OrderLeaseExchange} from './order-lease-exchange.js';
import type {QuotaExchange} from './quota-exchange.js';

type FollowerParts = {
	readonly settings: FollowerSettings;
	readonly codec: ControlCodec;
	readonly pool: ChannelPool;
	readonly timers: TimerService;
	readonly clock: Clock;
	/** Tells when the process was last suspended, and for how long in all. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	readonly logger: Logger;
	readonly duties: OrderLeaseExchange;
	/** Left out by processes that send no requests to upstreams. */
	readonly crashes?: CrashExchange;
	readonly quotas?: QuotaExchange;
	readonly limits?: LimitExchange;
	/** Hears that the routing here is the newest, as of a time at which this process asked. */
	readonly onConfirmed?: (askedAt: number) => void;
	readonly onRouting: (table: RouteTable) => void;
	readonly onDirectory: (upstreams: readonly Upstream[]) => void;
};

/** A new leader has this long to confirm an upstream, in milliseconds: some announcements of the slowest. */
const CONFIRM_MS = 8000;

const CHECK_MS = 1000;

/** Keeps the newest routing and the directory of upstreams, as the leader sends them. Neither ever goes back. */
export class RoutingFollower {
	readonly #parts: FollowerParts;
	readonly #leader: LeaderCalls;
	readonly #session: SessionClient;
	readonly #copy: DirectoryCopy = newDirectoryCopy();
	#table: RouteTable | undefined;
	/** Whether the newest routing that came could not be read, so that an older one is obeyed. */
	#isUnreadable = false;
	readonly #gateways: GatewayCount;
	#toldAttended = 0;
	#heardAt: number;

	constructor(parts: FollowerParts) {
		this.#parts = parts;
		this.#gateways = new GatewayCount(parts);
		this.#heardAt = parts.clock.now();
		this.#leader = new LeaderCalls(parts.pool, getPeerAddresses(parts.settings), parts.timers);
		this.#session = new SessionClient({
			pool: parts.pool,
			leader: this.#leader,
			timers: parts.timers,
			clock: parts.clock,
			logger: parts.logger,
			heartbeatMs: parts.settings.heartbeatMs,
			newReport: (sentAt, isFirst) => this.#newReport(sentAt, isFirst),
			onUpdate: update => {
				this.#take(update);
			},
		});
	}

	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** Gateways that share budgets, this one among them. */
	get gatewayCount(): number {
		return this.#gateways.value;
	}

	/** Since when this gateway has had a share of the budgets of all, in monotonic milliseconds; undefined while no leader counts it. */
	get countedSince(): number | undefined {
		return this.#gateways.countedSince;
	}

	/** Into how many shares the retries of all gateways are divided. */
	get retryShares(): number {
		return this.#gateways.shares;
	}

	/** Whether nobody can have spent this gateway's share before it was counted. */
	get isShareUnspent(): boolean {
		return this.#gateways.isUnspent;
	}

	/** Reports soon, as what this process tells has changed. */
	reportSoon(): void {
		this.#session.reportSoon();
	}

	/** Time since the leader was heard, in milliseconds. */
	get ageMs(): number {
		return this.#parts.clock.now() - this.#heardAt;
	}

	start(): void {
		this.#session.start();
		this.#parts.timers.repeat(CHECK_MS, now => {
			if (mutateUnconfirmed(this.#copy, CONFIRM_MS, now)) {
				this.#publishDirectory();
			}
		});
	}

	stop(): void {
		this.#session.stop();
	}

	#newReport(sentAt: number, isFirst: boolean): SessionReport {
		const {settings, duties} = this.#parts;
		const {leases, endedLeases, keeperAddress, isStopping, attendedEngines} = duties.getReport();
		// They only become more, and a session remembers them.
		const hasNews = isFirst || attendedEngines.length !== this.#toldAttended;
		this.#toldAttended = attendedEngines.length;
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
			attendedEngines: hasNews ? attendedEngines : [],
			leases: leases.map(lease => create(HeldLeaseSchema, lease)),
			endedLeases: endedLeases.map(lease => create(EndedLeaseSchema, lease)),
			crashes: crashReport?.crashes.map(crash => encodeCrash(crash)) ?? [],
			served: crashReport?.served.map(fingerprint => Buffer.from(fingerprint, 'hex')) ?? [],
			quarantineVersion: crashReport?.quarantineVersion ?? 0,
			gatewayCount: this.#gateways.value,
			quotaUsages: this.#parts.quotas?.getReport(isFirst).map(usage => encodeQuotaUsage(usage)) ?? [],
			...(limitReport && encodeLimitReport(limitReport, sentAt)),
		});
		return create(SessionReportSchema, {report: {case: 'follower', value}});
	}

	/** A voter that does not lead may still send a routing: it holds committed ones only. */
	#take(update: SessionUpdate): void {
		const hadTable = this.#table !== undefined;
		if (update.routing) {
			this.#takeRouting(update.routing);
		}

		if (update.quarantine) {
			this.#parts.crashes?.take(update.quarantine, update.isCurrent);
		}

		if (!update.isCurrent) {
			return;
		}

		this.#heardAt = this.#parts.clock.now();
		this.#parts.crashes?.noteHeard(update.sentAt, update.isCrashLeaseGranted);
		this.#parts.crashes?.noteKnown(update.crashesKnownUntil);
		this.#parts.crashes?.noteObeyed(update.crashesObeyedUntil);
		this.#leader.learn(update.voterAddresses);
		this.#parts.duties.take({
			leases: update.leases, ordersFromMs: update.ordersFromMs, holdersKnownInMs: update.holdersKnownInMs, reportedAt: update.sentAt,
		});
		this.#takeConfirmation(update);
		this.#gateways.take({
			count: update.gatewayCount, askedAt: update.sentAt, isServing: this.#table !== undefined, unspentShares: hadTable ? 0 : update.unspentShares,
		});
		if (update.directory.length > 0) {
			this.#takeDirectory(fromBinary(DirectoryDeltaSchema, update.directory));
		}

		if (update.isReportWanted) {
			this.#session.reportSoon();
		}
	}

	#takeConfirmation({isRoutingConfirmed, quotaGrant, upstreamLimits, limitGrant, sentAt}: SessionUpdate): void {
		if (isRoutingConfirmed && !this.#isUnreadable) {
			this.#parts.onConfirmed?.(sentAt);
		}

		if (quotaGrant) {
			this.#parts.quotas?.take({...quotaGrant, reportedAt: sentAt});
		}

		if (upstreamLimits ?? limitGrant) {
			this.#parts.limits?.take({limits: upstreamLimits, grant: limitGrant, reportedAt: sentAt});
		}
	}

	#takeRouting({version, document}: RoutingRecord): void {
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
			}, 'a committed routing cannot be read; the one before stays in force');
		}
	}

	#takeDirectory(delta: DirectoryDelta): void {
		const upstreams = delta.upstreams as unknown as readonly UpstreamChange[];
		if (mutateDirectoryCopy(this.#copy, {...delta, upstreams}, this.#parts.clock.now())) {
			this.#publishDirectory();
		}
	}

	#publishDirectory(): void {
		this.#parts.onDirectory([...this.#copy.upstreams.values()].map(entry => entry.upstream));
	}
}
