import type {Server} from 'node:http';
import {create} from '@bufbuild/protobuf';
import {
	RESULT_CODE, RESULT_DETAILS, type ResultCodeValue, SYSTEM_CLOCK, type TimerService,
} from '@valelead/common';
import {
	type ChannelPool, LeaderClient, type SessionReport, type SessionUpdate, SessionReportSchema,
} from '@valelead/protocol';
import type {Logger} from 'pino';
import {startAdminServer} from '../admin-server.js';
import {SessionClient} from '../session-client.js';
import {Metrics} from '../metrics/metrics.js';
import type {EntrySettings} from '../settings/entry-settings.js';
import type {Stoppable} from '../stoppable.js';
import {getStartupDurationMs} from '../get-startup-duration-ms.js';
import {ADMISSION_DEFAULTS} from './admission-defaults.js';
import {CallerServer} from './caller-server.js';
import {ClaimClient} from './claim-client.js';
import {Dispatcher} from './dispatcher.js';
import {HttpHandler} from './http-handler.js';
import {IntentFollower} from './intent-follower.js';
import {KeyIndex} from './key-index.js';
import type {Exchange} from './exchange.js';

type EntryParts = {
	readonly settings: EntrySettings;
	readonly logger: Logger;
	readonly timers: TimerService;
	readonly pool: ChannelPool;
};

const IDLE_POLL_INTERVAL_MS = 20;
const MS_PER_SECOND = 1000;

/** Runs the role entry: follows the configuration of the leader, receives requests of callers and dispatches them to agents. */
export class Entry implements Stoppable {
	readonly #parts: EntryParts;
	readonly #follower = new IntentFollower(SYSTEM_CLOCK);
	readonly #keys = new KeyIndex();
	readonly #metrics = new Metrics();
	readonly #dispatcher: Dispatcher;
	readonly #callers: CallerServer;
	readonly #session: SessionClient;
	#admin: Server | undefined;
	/** When requests in progress are aborted, in monotonic milliseconds. Undefined before the stop signal. */
	#endsAt: number | undefined;

	constructor(parts: EntryParts) {
		this.#parts = parts;
		this.#dispatcher = this.#newDispatcher();
		this.#callers = new CallerServer({
			handler: this.#newHandler(), settings: parts.settings, timers: parts.timers, getUnreadyReason: () => this.#getUnreadyReason(),
		});
		this.#session = this.#newSession();
	}

	async start(): Promise<void> {
		const {settings, timers, logger} = this.#parts;
		this.#session.start();
		timers.repeat(settings.heartbeatMs, () => {
			this.#refuseIfPartitioned();
		});
		await this.#callers.listen();
		this.#admin = await startAdminServer({
			...settings.admin,
			metrics: this.#metrics,
			getUnreadyReason: () => this.#getUnreadyReason(),
			refreshMetrics: () => {
				this.#metrics.revision.set(this.#follower.intent.revision);
				this.#metrics.configurationAge.set(this.#follower.ageMs / MS_PER_SECOND);
			},
		});
		logger.info({event: 'started', startMs: getStartupDurationMs()}, 'entry started');
	}

	/** Fails readiness, waits for the load balancer to notice, refuses requests that could not end in time and waits for the remaining ones. */
	async stop(): Promise<void> {
		const {settings, timers} = this.#parts;
		this.#beginStop(SYSTEM_CLOCK.now() + settings.balancerDelayMs + settings.stopLimitMs);
		await timers.wait(settings.balancerDelayMs);
		await this.#callers.close(() => this.#endsAt!);
		await this.#waitUntilIdle();
		this.stopNow();
		this.#callers.resetAborted();
		this.#session.stop();
		this.#admin?.close();
	}

	stopNow(): void {
		this.#beginStop(SYSTEM_CLOCK.now());
		this.#dispatcher.abortAll(RESULT_CODE.Draining);
	}

	#beginStop(endsAt: number): void {
		this.#endsAt = endsAt;
		this.#callers.closeAfterResponses();
		this.#dispatcher.stop(endsAt);
	}

	#newDispatcher(): Dispatcher {
		const {settings, timers, pool} = this.#parts;
		return new Dispatcher({
			entry: settings.vm,
			settings: {...ADMISSION_DEFAULTS, dataCentre: settings.dataCentre},
			maxAnswerBytes: settings.maxAnswerBytes,
			pool,
			timers,
			clock: SYSTEM_CLOCK,
			metrics: this.#metrics,
			getIntent: () => this.#follower.intent,
			onColdDemand: () => {
				this.#session.scheduleReport();
			},
			onEnd: (exchange, code) => {
				this.#logEnd(exchange, code);
			},
		});
	}

	#newHandler(): HttpHandler {
		const {settings, timers, logger} = this.#parts;
		return new HttpHandler({
			follower: this.#follower,
			keys: this.#keys,
			dispatcher: this.#dispatcher,
			claims: new ClaimClient(this.#newLeaderCalls()),
			timers,
			clock: SYSTEM_CLOCK,
			logger,
			maxBodyBytes: settings.maxBodyBytes,
			streamStallMs: settings.streamStallMs,
			getRefusalCode: () => this.#getRefusalCode(),
		});
	}

	#newSession(): SessionClient {
		const {settings, timers, pool, logger} = this.#parts;
		return new SessionClient({
			pool,
			leader: this.#newLeaderCalls(),
			timers,
			clock: SYSTEM_CLOCK,
			logger,
			heartbeatMs: settings.heartbeatMs,
			newReport: sentAt => this.#newReport(sentAt),
			onUpdate: update => {
				this.#applyUpdate(update);
			},
		});
	}

	#newLeaderCalls(): LeaderClient {
		const {settings, timers, pool} = this.#parts;
		return new LeaderClient(pool, settings.controlAddresses, timers);
	}

	#newReport(sentAt: number): SessionReport {
		const demands = this.#dispatcher.collectDemands().map(({target, ...demand}) => ({unit: target, ...demand, inProgress: 0}));
		const value = {
			vm: this.#parts.settings.vm,
			sentAt,
			revision: this.#follower.reportedRevision,
			demands,
			inProgress: this.#dispatcher.inProgress,
			waiting: this.#dispatcher.waiting,
		};
		return create(SessionReportSchema, {report: {case: 'entry', value}});
	}

	#applyUpdate(update: SessionUpdate): void {
		if (this.#follower.applyUpdate(update)) {
			this.#keys.refresh(this.#follower.intent);
		}

		this.#dispatcher.updateEndpoints(update.endpoints, update.entryCount);
	}

	/**
	 * Returns the result code with which all requests are refused, or undefined. A stopping entry still accepts requests that end in time; admission
	 * refuses the others.
	 */
	#getRefusalCode(): ResultCodeValue | undefined {
		const isTooOld = this.#follower.ageMs > this.#parts.settings.maxConfigurationAgeMs;
		return isTooOld ? RESULT_CODE.ConfigurationTooOld : undefined;
	}

	#getUnreadyReason(): string | undefined {
		const code = this.#endsAt === undefined ? this.#getRefusalCode() : RESULT_CODE.Draining;
		return code === undefined ? undefined : RESULT_DETAILS[code].name;
	}

	#refuseIfPartitioned(): void {
		if (this.#getRefusalCode() === RESULT_CODE.ConfigurationTooOld) {
			this.#dispatcher.refuseWaiting(RESULT_CODE.ConfigurationTooOld);
		}
	}

	async #waitUntilIdle(): Promise<void> {
		const isBusy = (): boolean => this.#dispatcher.inProgress > 0 || this.#callers.connectionCount > 0;
		while (isBusy() && SYSTEM_CLOCK.now() < this.#endsAt!) {
			await this.#parts.timers.wait(IDLE_POLL_INTERVAL_MS);
			this.#callers.closeIdle();
		}
	}

	#logEnd({requestId, request, arrivedAt}: Exchange, code: ResultCodeValue): void {
		const {team, className, target} = request;
		const tookMs = Math.round(SYSTEM_CLOCK.now() - arrivedAt);
		this.#parts.logger.info({
			event: 'request-ended', requestId, team, class: className, target, code, tookMs,
		}, 'request ended');
	}
}
