import type {Server} from 'node:http';
import {
	RESULT_CODE, SYSTEM_CLOCK, SYSTEM_SUSPENSIONS, type TimerService,
} from '@valelead/common';
import type {AdmissionSettings} from '@valelead/admission';
import {type ChannelPool, Residency, newServiceDefinition} from '@valelead/protocol';
import type {RouteTable} from '@valelead/routing';
import type {Logger} from 'pino';
import type {Adapter} from '../adapter/adapter.js';
import {startAdminServer} from '../admin-server.js';
import {RoutingConfirmation} from '../follower/routing-confirmation.js';
import {RoutingFollower} from '../follower/routing-follower.js';
import {GrpcServer} from '../grpc-server.js';
import {EngineKeepers} from '../keeping/engine-keepers.js';
import {Metrics} from '../metrics/metrics.js';
import type {GatewaySettings} from '../settings/gateway-settings.js';
import {newResidencyService} from '../sidecar/new-residency-service.js';
import type {Stoppable} from '../stoppable.js';
import {getStartMs} from '../get-start-ms.js';
import {newServerCredentials} from '../tls/new-server-credentials.js';
import {newPortCheck} from './new-port-check.js';
import {newGatewayAdmission} from './new-gateway-admission.js';
import {RequestDispatcher} from './request-dispatcher.js';
import {RequestHandler} from './request-handler.js';
import {RequestIntake} from './request-intake.js';
import {RequestServer} from './request-server.js';
import {ResidencyClients} from './residency-clients.js';
import {startReadinessServer} from './start-readiness-server.js';
import {UpstreamAttempt} from './upstream-attempt.js';
import type {GracePeriod} from './grace-period.js';

type GatewayParts = {
	readonly settings: GatewaySettings;
	readonly adapter: Adapter;
	readonly logger: Logger;
	readonly timers: TimerService;
	readonly pool: ChannelPool;
};

/** Settings of the admission, and the share of the retries that they were worked out for. */
type KnownAdmission = {
	readonly shares: number;
	readonly countedSince: number | undefined;
	readonly isUnspent: boolean;
	readonly settings: AdmissionSettings;
};

const MS_PER_SECOND = 1000;

/** The balancer asks for readiness each second and takes two misses; new connections still come until then. */
const BALANCER_MS = 2500;

/**
 * What is left of the platform's grace when requests in progress are broken off, in milliseconds: closing and writing the last log lines
 * take some twenty. All the rest goes to requests in progress.
 */
const END_RESERVE_MS = 250;

const IDLE_POLL_MS = 50;

/** Takes callers' requests on the routes in force and sends them straight to upstreams. */
export class Gateway implements Stoppable {
	readonly #parts: GatewayParts;
	readonly #metrics = new Metrics();
	readonly #follower: RoutingFollower;
	readonly #residency: ResidencyClients;
	readonly #keepers: EngineKeepers;
	readonly #keeperServer: GrpcServer;
	readonly #confirmation: RoutingConfirmation;
	readonly #intake: RequestIntake;
	readonly #dispatcher: RequestDispatcher;
	readonly #server: RequestServer;
	#admin: Server | undefined;
	#readiness: Server | undefined;
	#admission: KnownAdmission | undefined;
	#grace: GracePeriod | undefined;

	constructor(parts: GatewayParts) {
		const {
			settings, adapter, logger, timers, pool,
		} = parts;
		this.#parts = parts;
		this.#residency = new ResidencyClients({
			gateway: settings.vm,
			sidecarPort: settings.sidecarPort,
			pool,
			timers,
			logger,
			onReport: (address, report) => {
				this.#dispatcher.takeReport(address, report);
			},
			onAttended: () => {
				this.#follower.reportSoon();
			},
		});
		this.#keepers = new EngineKeepers({
			holder: settings.vm,
			keeperAddress: `${settings.host}:${settings.sidecarPort}`,
			concurrentStoreLoads: settings.concurrentStoreLoads,
			codec: adapter.engine,
			timers,
			clock: SYSTEM_CLOCK,
			suspensions: SYSTEM_SUSPENSIONS,
			logger,
		});
		this.#keeperServer = new GrpcServer([{
			definition: newServiceDefinition(Residency), implementation: newResidencyService(address => this.#keepers.get(address)),
		}]);
		this.#follower = this.#newFollower();
		this.#confirmation = new RoutingConfirmation(SYSTEM_CLOCK, SYSTEM_SUSPENSIONS, settings.revokeMs);
		this.#intake = new RequestIntake({
			clock: SYSTEM_CLOCK,
			suspensions: SYSTEM_SUSPENSIONS,
			timers,
			logger,
			metrics: this.#metrics,
			getDispatcher: () => this.#dispatcher,
			getTable: () => this.#follower.table,
			getRoutingAgeMs: () => this.#follower.ageMs,
			getGrace: () => this.#grace,
			onNeed: () => {
				this.#follower.reportSoon();
			},
		});
		this.#dispatcher = new RequestDispatcher({
			getSettings: () => this.#getAdmission(),
			codec: adapter.caller,
			timers,
			clock: SYSTEM_CLOCK,
			logger,
			residency: this.#residency,
			getTable: () => this.#follower.table,
			getGatewayCount: () => this.#follower.gatewayCount,
			newAttempt: terms => new UpstreamAttempt(terms),
			random: Math.random,
			getLeaderAgeMs: () => this.#follower.ageMs,
			isPortRefused: newPortCheck(timers),
			onCrash: () => {
				this.#metrics.crashedUpstreams.inc();
			},
			onCrashNews: () => {
				this.#follower.reportSoon();
			},
			onLimitNews: () => {
				this.#follower.reportSoon();
			},
			onRetry: (service, isAllowed) => {
				this.#metrics.retries.inc({service, result: isAllowed ? 'sent' : 'refused'});
			},
			onCut: request => {
				this.#intake.noteCut(request);
			},
			onCancelled: ({isAnswered}) => {
				this.#metrics.cancelledAttempts.inc({answered: String(isAnswered)});
			},
			suspensions: SYSTEM_SUSPENSIONS,
			onEnd: (request, code, outcome, reason) => {
				this.#intake.end(request, code, outcome, reason);
			},
		});
		this.#server = new RequestServer(settings.http, new RequestHandler({
			codec: adapter.caller,
			clock: SYSTEM_CLOCK,
			logger,
			onRequest: request => {
				this.#intake.arrive(request);
			},
			onGone: request => {
				this.#intake.abandon(request);
			},
			getTable: () => this.#follower.table,
			isConfirmed: () => this.#confirmation.isFresh,
			isStopping: () => this.#grace !== undefined,
		}));
	}

	async start(): Promise<void> {
		const {settings, adapter, logger} = this.#parts;
		await this.#keeperServer.listen(`${settings.listenHost ?? settings.host}:${settings.sidecarPort}`, newServerCredentials(settings.tls));
		this.#follower.start();
		await this.#server.listen();
		this.#readiness = await startReadinessServer(settings.readiness, adapter.caller.readinessPath, () => this.#getUnreadyReason());
		this.#admin = await startAdminServer({
			...settings.admin,
			metrics: this.#metrics,
			getUnreadyReason: () => this.#getUnreadyReason(),
			refreshMetrics: () => {
				this.#metrics.revision.set(this.#follower.table?.routing.version ?? 0);
				this.#metrics.configurationAge.set(this.#follower.ageMs / MS_PER_SECOND);
				this.#metrics.limitedUpstreams.set(this.#dispatcher.limitedCount);
				this.#metrics.quarantinedRequests.set(this.#dispatcher.quarantinedCount);
			},
		});
		logger.info({event: 'started', http: settings.http, startMs: getStartMs()}, 'gateway started');
	}

	/** Fails readiness, ends connections after their answers, refuses what could not end in time, and waits for the rest. */
	async stop(): Promise<void> {
		const {settings, timers, logger} = this.#parts;
		const startedAt = SYSTEM_CLOCK.now();
		const endsAt = startedAt + (settings.graceSeconds * MS_PER_SECOND) - END_RESERVE_MS;
		this.#grace = {startedAt, endsAt};
		this.#dispatcher.stop(endsAt);
		this.#follower.reportSoon();
		await timers.wait(Math.min(BALANCER_MS, settings.graceSeconds * MS_PER_SECOND / 2));
		this.#server.close();
		this.#server.closeIdle();
		while (this.#isBusy && SYSTEM_CLOCK.now() < endsAt) {
			await timers.wait(IDLE_POLL_MS);
			// A connection whose answer began before the stop was not told to close.
			this.#server.closeIdle();
		}

		logger.info({event: 'stopping', inProgress: this.#dispatcher.inProgress, unfinished: this.#server.unfinishedCount}, 'gateway stops');
		this.stopNow();
		this.#keepers.stop();
		this.#keeperServer.stop();
		this.#follower.stop();
		this.#residency.stop();
		this.#dispatcher.close();
		this.#readiness?.close();
		this.#admin?.close();
	}

	/** Whether a request is in progress, or a caller has not taken the whole of an answer that is ready. */
	get #isBusy(): boolean {
		return this.#dispatcher.inProgress > 0 || this.#server.unfinishedCount > 0;
	}

	stopNow(): void {
		const now = SYSTEM_CLOCK.now();
		this.#grace ??= {startedAt: now, endsAt: now};
		this.#intake.refuseAll(RESULT_CODE.Draining);
		this.#dispatcher.cutAll(RESULT_CODE.Draining);
	}

	#newFollower(): RoutingFollower {
		const {
			settings, adapter, logger, timers, pool,
		} = this.#parts;
		return new RoutingFollower({
			settings,
			codec: adapter.control,
			pool,
			timers,
			clock: SYSTEM_CLOCK,
			suspensions: SYSTEM_SUSPENSIONS,
			logger,
			duties: {
				getReport: () => ({...this.#keepers.getReport(), isStopping: this.#grace !== undefined, attendedEngines: this.#residency.attendedEngines}),
				take: grant => {
					this.#keepers.take(grant);
				},
			},
			crashes: {
				getReport: isFirst => this.#dispatcher.crashExchange.getReport(isFirst),
				take: (list, isLeaders) => {
					this.#dispatcher.crashExchange.take(list, isLeaders);
				},
				noteHeard: (reportedAt, isLeaseGranted) => {
					this.#dispatcher.crashExchange.noteHeard(reportedAt, isLeaseGranted);
				},
				noteKnown: reportedAt => {
					this.#dispatcher.crashExchange.noteKnown(reportedAt);
				},
				noteObeyed: reportedAt => {
					this.#dispatcher.crashExchange.noteObeyed(reportedAt);
				},
			},
			quotas: {
				getReport: isFirst => this.#intake.quotas.getReport(isFirst),
				take: news => {
					this.#intake.quotas.take(news);
				},
			},
			limits: {
				getReport: (sentAt, isFirst) => this.#dispatcher.limitExchange.getReport(sentAt, isFirst),
				take: news => {
					this.#dispatcher.limitExchange.take(news);
				},
			},
			onConfirmed: askedAt => {
				this.#confirmation.take(askedAt);
			},
			onRouting: table => {
				this.#takeRouting(table);
			},
			onDirectory: upstreams => {
				this.#keepers.setUpstreams(upstreams);
				this.#dispatcher.takeDirectory(upstreams);
			},
		});
	}

	#takeRouting(table: RouteTable): void {
		this.#keepers.setTable(table);
		this.#server.setLimits(table.routing.limits);
		this.#dispatcher.refresh();
	}

	/** Worked out anew only when this gateway's share of the retries changes. */
	#getAdmission(): AdmissionSettings {
		const {gatewayCount, retryShares: shares, countedSince, isShareUnspent: isUnspent} = this.#follower;
		const known = this.#admission;
		if (known?.shares === shares && known.countedSince === countedSince && known.isUnspent === isUnspent) {
			return known.settings;
		}

		const {dataCentre, retryRatio, retryReserve, retryWindowSeconds} = this.#parts.settings;
		const settings = newGatewayAdmission({
			dataCentre, ratio: retryRatio, reserve: retryReserve, windowMs: retryWindowSeconds * MS_PER_SECOND, gatewayCount: shares, countedSince, isUnspent,
		});
		this.#admission = {
			shares, countedSince, isUnspent, settings,
		};
		this.#parts.logger.info({
			event: 'retry-share', gatewayCount, shares, isUnspent, countedMs: countedSince === undefined ? undefined : Math.round(SYSTEM_CLOCK.now() - countedSince), most: settings.maxRetryTokens,
		}, 'this gateway has another share of the retries');
		return settings;
	}

	#getUnreadyReason(): string | undefined {
		if (this.#grace) {
			return 'stopping';
		}

		return this.#follower.table ? undefined : 'no routing yet';
	}
}
