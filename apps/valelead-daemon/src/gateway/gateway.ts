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
import {getGraceEnd} from '../get-grace-end.js';
import {GrpcServer} from '../grpc-server.js';
import {BYTES_PER_MB} from '../bytes-per-mb.js';
import {CallerBodies} from '../caller-bodies.js';
import {EngineManagers} from '../leased-engines/engine-managers.js';
import {Metrics} from '../metrics/metrics.js';
import {setTeamMetrics} from '../metrics/set-team-metrics.js';
import type {GatewaySettings} from '../settings/gateway-settings.js';
import {newResidencyService} from '../sidecar/new-residency-service.js';
import type {Stoppable} from '../stoppable.js';
import {OriginClient} from '../stream-origins/origin-client.js';
import {getStartupDurationMs} from '../get-startup-duration-ms.js';
import {newServerCredentials} from '../tls/new-server-credentials.js';
import {BALANCER_DRAIN_MS} from './balancer-drain-ms.js';
import {HeldResponses} from './held-responses.js';
import {newGarbageCollection} from './new-garbage-collection.js';
import {newPortCheck} from './new-port-check.js';
import {newGatewayAdmission} from './new-gateway-admission.js';
import {EngineChoice} from './engine-choice.js';
import {getSummedLaneCost} from './get-summed-lane-cost.js';
import {isBalancerDrained} from './is-balancer-drained.js';
import {ReadinessChecks} from './readiness-checks.js';
import {RequestDispatcher} from './request-dispatcher.js';
import {RequestHandler} from './request-handler.js';
import {RequestReceiver} from './request-receiver.js';
import {RequestServer} from './request-server.js';
import {ResidencyClients} from './residency-clients.js';
import {startReadinessServer} from './start-readiness-server.js';
import {UpstreamAttempt} from './upstream-attempt.js';
import {WaitRecorder} from './wait-recorder.js';
import type {GracePeriod} from './grace-period.js';

type GatewayParts = {
	readonly settings: GatewaySettings;
	readonly adapter: Adapter;
	readonly logger: Logger;
	readonly timers: TimerService;
	readonly pool: ChannelPool;
};

/** Cached admission settings, with the share of the retry budget that they were computed from. */
type CachedAdmission = {
	readonly shares: number;
	readonly countedSince: number | undefined;
	readonly isUnspent: boolean;
	readonly settings: AdmissionSettings;
};

const MS_PER_SECOND = 1000;

/** The share of the grace period after which the gateway accepts no further connections, whatever the balancer does. The rest is for their requests. */
const ACCEPTING_SHARE = 1 / 2;

/** The share of the process's memory that callers' bodies may occupy: at 210 MB it is 26 MB, beside as much for responses. */
const BODY_SHARE = 1 / 8;

const IDLE_POLL_MS = 50;

/** The gateway role: accepts callers' requests by the routing configuration in force, and sends them directly to upstreams. */
export class Gateway implements Stoppable {
	readonly #parts: GatewayParts;
	readonly #metrics = new Metrics();
	readonly #follower: RoutingFollower;
	readonly #choice: EngineChoice;
	readonly #residency: ResidencyClients;
	readonly #engineManagers: EngineManagers;
	readonly #residencyServer: GrpcServer;
	readonly #confirmation: RoutingConfirmation;
	readonly #origins: OriginClient;
	readonly #intake: RequestReceiver;
	readonly #dispatcher: RequestDispatcher;
	readonly #server: RequestServer;
	readonly #checks = new ReadinessChecks();
	readonly #held: HeldResponses;
	readonly #bodies: CallerBodies;
	#admin: Server | undefined;
	#readiness: Server | undefined;
	#admission: CachedAdmission | undefined;
	#grace: GracePeriod | undefined;

	constructor(parts: GatewayParts) {
		const {
			settings, adapter, logger, timers, pool,
		} = parts;
		this.#parts = parts;
		this.#choice = new EngineChoice({
			scheduling: settings.scheduling,
			clock: SYSTEM_CLOCK,
			timers,
			getCacheTokens: service => this.#follower.table?.services.get(service)?.engine?.cacheTokens ?? 0,
			onPreferred: request => {
				this.#metrics.preferredChoices.inc({class: request.className});
			},
			sendMeasurements: address => {
				this.#residency.sendMeasurements(address);
			},
		});
		this.#residency = new ResidencyClients({
			gateway: settings.vm,
			sidecarPort: settings.sidecarPort,
			pool,
			timers,
			logger,
			takeSpeedSamples: address => this.#choice.takeSpeedSamples(address),
			onReport: (address, report) => {
				this.#choice.setReport(address, report);
				this.#dispatcher.takeReport(address, report);
			},
			onAttended: () => {
				this.#follower.scheduleReport();
			},
		});
		this.#engineManagers = new EngineManagers({
			holder: settings.vm,
			keeperAddress: `${settings.host}:${settings.sidecarPort}`,
			concurrentStoreLoads: settings.concurrentStoreLoads,
			codec: adapter.engine,
			timers,
			clock: SYSTEM_CLOCK,
			suspensions: SYSTEM_SUSPENSIONS,
			logger,
		});
		this.#residencyServer = new GrpcServer([{
			definition: newServiceDefinition(Residency), implementation: newResidencyService(address => this.#engineManagers.get(address)),
		}]);
		this.#origins = new OriginClient({
			pool,
			clock: SYSTEM_CLOCK,
			timers,
			logger,
			onLookup: result => {
				this.#metrics.streamOriginLookups.inc({result});
			},
		});
		this.#follower = this.#newFollower();
		this.#confirmation = new RoutingConfirmation(SYSTEM_CLOCK, SYSTEM_SUSPENSIONS, settings.revokeMs);
		this.#intake = new RequestReceiver({
			clock: SYSTEM_CLOCK,
			suspensions: SYSTEM_SUSPENSIONS,
			timers,
			logger,
			metrics: this.#metrics,
			getDispatcher: () => this.#dispatcher,
			getTable: () => this.#follower.table,
			getContact: () => this.#follower.contact,
			getGrace: () => this.#grace,
			isMemoryChecked: settings.scheduling.promptMemory,
			isReserveUsed: settings.scheduling.quotaReserve,
			onNeed: () => {
				this.#follower.scheduleReport();
			},
		});
		const waits = new WaitRecorder({clock: SYSTEM_CLOCK, logger, metrics: this.#metrics});
		this.#dispatcher = new RequestDispatcher({
			getSettings: () => this.#getAdmission(),
			codec: adapter.caller,
			timers,
			clock: SYSTEM_CLOCK,
			logger,
			residency: this.#residency,
			origins: this.#origins,
			getTable: () => this.#follower.table,
			isLoadForecast: settings.scheduling.loadForecast,
			getGatewayCount: () => this.#follower.gatewayCount,
			newAttempt: terms => new UpstreamAttempt(this.#choice.newMeasured(terms), timers),
			random: Math.random,
			getLeaderAgeMs: () => this.#follower.ageMs,
			isPortRefused: newPortCheck(timers),
			onCrash: () => {
				this.#metrics.crashedUpstreams.inc();
			},
			onCrashReportDue: () => {
				this.#follower.scheduleReport();
			},
			onLimitReportDue: () => {
				this.#follower.scheduleReport();
			},
			onWaited(effect, requestId) {
				waits.note(effect, requestId);
			},
			onRetry: (service, isAllowed) => {
				this.#metrics.retries.inc({service, result: isAllowed ? 'sent' : 'refused'});
			},
			onAborted: request => {
				this.#intake.recordAborted(request);
			},
			onCancelled: ({isAnswered}) => {
				this.#metrics.cancelledAttempts.inc({answered: String(isAnswered)});
			},
			suspensions: SYSTEM_SUSPENSIONS,
			onEnd: (request, code, outcome, reason) => {
				this.#intake.end(request, code, outcome, reason);
			},
		});
		const collectGarbage = newGarbageCollection();
		this.#held = new HeldResponses({
			memoryMb: settings.memoryMb,
			callerStallMs: settings.callerStallMs,
			timers,
			logger,
			onEnded: reason => {
				this.#metrics.endedResponses.inc({reason});
			},
			collectGarbage,
		});
		this.#bodies = new CallerBodies({
			maxTotalBytes: settings.memoryMb * BYTES_PER_MB * BODY_SHARE, clock: SYSTEM_CLOCK, timers, collectGarbage,
		});
		this.#server = new RequestServer({
			address: settings.http, timers, handler: new RequestHandler({
				held: this.#held,
				bodies: this.#bodies,
				codec: adapter.caller,
				clock: SYSTEM_CLOCK,
				logger,
				onRequest: request => {
					this.#intake.arrive(request);
				},
				onCallerDisconnected: request => {
					this.#intake.abandon(request);
				},
				getTable: () => this.#follower.table,
				isConfirmed: () => this.#confirmation.isFresh,
				getContact: () => this.#follower.contact,
				isStopping: () => this.#grace !== undefined,
				findSoleVersion: async (route, service) => this.#origins.findSoleVersion(route, service),
				findOrigin: async (key, requestId) => this.#origins.lookUp(key, requestId),
			}),
		});
	}

	async start(): Promise<void> {
		const {settings, adapter, logger} = this.#parts;
		await this.#residencyServer.listen(`${settings.listenHost ?? settings.host}:${settings.sidecarPort}`, newServerCredentials(settings.tls));
		this.#follower.start();
		await this.#server.listen();
		this.#readiness = await startReadinessServer(settings.readiness, adapter.caller.readinessPath, () => {
			const reason = this.#getUnreadyReason();
			this.#checks.note(reason === undefined);
			return reason;
		});
		this.#admin = await startAdminServer({
			...settings.admin,
			metrics: this.#metrics,
			getUnreadyReason: () => this.#getUnreadyReason(),
			refreshMetrics: () => {
				this.#metrics.revision.set(this.#follower.table?.routing.version ?? 0);
				this.#metrics.configurationAge.set(this.#follower.ageMs / MS_PER_SECOND);
				this.#metrics.slowEngines.set(this.#choice.slowEngines);
				this.#metrics.heldResponseBytes.set(this.#held.totalBytes);
				this.#metrics.limitedUpstreams.set(this.#dispatcher.limitedCount);
				this.#metrics.quarantinedRequests.set(this.#dispatcher.quarantinedCount);
				setTeamMetrics(this.#metrics, this.#dispatcher.teamShares.counts);
			},
		});
		logger.info({event: 'started', http: settings.http, startMs: getStartupDurationMs()}, 'gateway started');
	}

	/**
	 * Stops gracefully: fails the readiness check, closes connections after their responses, refuses requests that could not end in time, and waits for
	 * the requests in progress until shortly before the grace period ends.
	 */
	async stop(): Promise<void> {
		const {settings, timers, logger} = this.#parts;
		const startedAt = SYSTEM_CLOCK.now();
		const graceMs = settings.graceSeconds * MS_PER_SECOND;
		const endsAt = getGraceEnd(startedAt, settings.graceSeconds);
		this.#grace = {startedAt, endsAt};
		this.#dispatcher.stop(endsAt);
		this.#follower.scheduleReport();
		await this.#acceptUntilDrained(startedAt, startedAt + (graceMs * ACCEPTING_SHARE));
		this.#logListenerClosed(startedAt);
		this.#server.close();
		this.#server.closeIdle();
		while (this.#isBusy && SYSTEM_CLOCK.now() < endsAt) {
			await timers.wait(IDLE_POLL_MS);
			// Responses that began before the stop did not carry the header that closes their connection.
			this.#server.closeIdle();
		}

		const {idle, unused} = this.#server.closedCounts;
		logger.info({
			event: 'stopping', inProgress: this.#dispatcher.inProgress, unfinished: this.#server.unfinishedCount, idleClosed: idle, unusedClosed: unused,
		}, 'gateway stops');
		this.stopNow();
		this.#engineManagers.stop();
		this.#residencyServer.stop();
		this.#follower.stop();
		this.#origins.stop();
		this.#residency.stop();
		this.#dispatcher.close();
		this.#server.resetAborted();
		this.#readiness?.close();
		this.#admin?.close();
	}

	/** True if a request is in progress, or a connection is open: its caller may not have received the whole of a completed response. */
	get #isBusy(): boolean {
		return this.#dispatcher.inProgress > 0 || this.#server.connectionCount > 0;
	}

	/** Stops without waiting: refuses the requests that wait and aborts those in progress. */
	stopNow(): void {
		const now = SYSTEM_CLOCK.now();
		this.#grace ??= {startedAt: now, endsAt: now};
		// What arrives from now on could not be answered: an idle gateway stops before its grace period ends.
		this.#dispatcher.stop(now);
		this.#intake.refuseAll(RESULT_CODE.Draining);
		this.#dispatcher.abortAll(RESULT_CODE.Draining);
	}

	/** Accepts connections until the balancer opens no more, and at most until a time in monotonic milliseconds. */
	async #acceptUntilDrained(stoppedAt: number, endsAt: number): Promise<void> {
		let now: number;
		do {
			await this.#parts.timers.wait(IDLE_POLL_MS);
			// After a stall, timers run before the connections that have come meanwhile are accepted.
			await this.#server.acceptWaiting(this.#grace!.endsAt);
			now = SYSTEM_CLOCK.now();
			if (now - stoppedAt >= BALANCER_DRAIN_MS) {
				// Connections that stay open would carry further requests to this process, whether or not the balancer still opens new ones.
				this.#server.closeIdle();
			}
		} while (now < endsAt && !isBalancerDrained({
			stopMs: now - stoppedAt, acceptedMs: now - this.#server.lastAcceptedAt, isChecked: this.#checks.hasPassed, failedChecks: this.#checks.failedCount,
		}));
	}

	#logListenerClosed(stoppedAt: number): void {
		const now = SYSTEM_CLOCK.now();
		const {lastAcceptedAt} = this.#server;
		this.#parts.logger.info({
			event: 'listener-closed',
			stopMs: Math.round(now - stoppedAt),
			acceptedMs: Number.isFinite(lastAcceptedAt) ? Math.round(now - lastAcceptedAt) : undefined,
			failedChecks: this.#checks.failedCount,
		}, 'no further connections are accepted');
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
			orderLeases: {
				getReport: () => ({...this.#engineManagers.getReport(), isStopping: this.#grace !== undefined, attendedEngines: this.#residency.attendedEngines}),
				handleUpdate: grant => {
					this.#engineManagers.take(grant);
				},
			},
			crashes: {
				getReport: isFirst => this.#dispatcher.crashExchange.getReport(isFirst),
				applyQuarantine: (list, isLeaders) => {
					this.#dispatcher.crashExchange.applyQuarantine(list, isLeaders);
				},
				noteReported: (reportedAt, isLeaseGranted) => {
					this.#dispatcher.crashExchange.noteReported(reportedAt, isLeaseGranted);
				},
				noteReachableGatewaysApplied: reportedAt => {
					this.#dispatcher.crashExchange.noteReachableGatewaysApplied(reportedAt);
				},
				noteAllGatewaysApplied: reportedAt => {
					this.#dispatcher.crashExchange.noteAllGatewaysApplied(reportedAt);
				},
			},
			quotas: {
				getReport: isFirst => this.#intake.quotas.getReport(isFirst),
				handleUpdate: news => {
					this.#intake.quotas.handleUpdate(news);
				},
			},
			limits: {
				getReport: (sentAt, isFirst) => this.#dispatcher.limitExchange.getReport(sentAt, isFirst),
				handleUpdate: news => {
					this.#dispatcher.limitExchange.handleUpdate(news);
				},
			},
			...(settings.scheduling.teamShares && {
				teams: {
					getReport: (sentAt, isFirst) => this.#dispatcher.teamShares.getReport(sentAt, isFirst),
					handleUpdate: news => {
						this.#dispatcher.teamShares.handleUpdate(news);
					},
				},
			}),
			onVoterAddresses: addresses => {
				this.#origins.setVoterAddresses(addresses);
			},
			onConfirmed: askedAt => {
				this.#confirmation.confirm(askedAt);
			},
			onRouting: table => {
				this.#takeRouting(table);
			},
			onDirectory: upstreams => {
				this.#engineManagers.setUpstreams(upstreams);
				this.#choice.setUpstreams(upstreams);
				this.#dispatcher.takeDirectory(upstreams);
			},
		});
	}

	#takeRouting(table: RouteTable): void {
		this.#engineManagers.setTable(table);
		this.#server.setLimits(table.routing.limits);
		this.#dispatcher.refresh();
	}

	/** Returns the admission settings. They are recomputed only when this gateway's share of the retry budget changes. */
	#getAdmission(): AdmissionSettings {
		const {gatewayCount, retryShares: shares, countedSince, isShareUnspent: isUnspent} = this.#follower;
		const cached = this.#admission;
		if (cached?.shares === shares && cached.countedSince === countedSince && cached.isUnspent === isUnspent) {
			return cached.settings;
		}

		const {dataCentre, retryRatio, retryReserve, retryWindowSeconds, scheduling} = this.#parts.settings;
		const settings = {
			...newGatewayAdmission({
				dataCentre,
				ratio: retryRatio,
				reserve: retryReserve,
				windowMs: retryWindowSeconds * MS_PER_SECOND,
				gatewayCount: shares,
				countedSince,
				isUnspent,
				isOrderedByLatestStart: scheduling.latestStart,
				areClassesBalanced: scheduling.latestStart && scheduling.classBalance,
			}),
			getLaneCost: getSummedLaneCost(this.#choice.costs),
		};
		this.#admission = {
			shares, countedSince, isUnspent, settings,
		};
		this.#parts.logger.info({
			event: 'retry-share', gatewayCount, shares, isUnspent, countedMs: countedSince === undefined ? undefined : Math.round(SYSTEM_CLOCK.now() - countedSince), most: settings.maxRetryTokens,
		}, 'share of the retry budget changed');
		return settings;
	}

	#getUnreadyReason(): string | undefined {
		if (this.#grace) {
			return 'stopping';
		}

		return this.#follower.table ? undefined : 'no routing yet';
	}
}
