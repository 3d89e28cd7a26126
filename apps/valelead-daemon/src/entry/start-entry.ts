import {readFileSync} from 'node:fs';
import {create} from '@bufbuild/protobuf';
import {
	RESULT_CODE, RESULT_DETAILS, type ResultCodeValue, SYSTEM_CLOCK, TimerService,
} from '@valelead/common';
import {
	ChannelPool, Consensus, Control, LeaderCalls, newServiceDefinition, type SessionUpdate, SessionReportSchema,
} from '@valelead/protocol';
import type {Logger} from 'pino';
import {startAdminServer} from '../admin-server.js';
import {GrpcServer} from '../grpc-server.js';
import {hashKey} from '../hash-key.js';
import {SessionClient} from '../session-client.js';
import {newChannelCredentials} from '../tls/new-channel-credentials.js';
import {newServerCredentials} from '../tls/new-server-credentials.js';
import {Leader} from '../control/leader.js';
import {newConsensusService} from '../control/new-consensus-service.js';
import {newControlService} from '../control/new-control-service.js';
import {Sessions} from '../control/sessions.js';
import {Voter} from '../control/voter.js';
import {Metrics} from '../metrics/metrics.js';
import type {EntrySettings} from '../settings/entry-settings.js';
import type {VoterSettings} from '../settings/voter-settings.js';
import type {Stoppable} from '../stoppable.js';
import {ADMISSION_DEFAULTS} from './admission-defaults.js';
import {CallerServer} from './caller-server.js';
import {ClaimClient} from './claim-client.js';
import {Dispatcher} from './dispatcher.js';
import {HttpHandler} from './http-handler.js';
import {IntentFollower} from './intent-follower.js';
import {KeyIndex} from './key-index.js';

type Foundation = {
	readonly settings: EntrySettings;
	readonly logger: Logger;
	readonly timers: TimerService;
	readonly pool: ChannelPool;
};

type RunningVoter = {
	readonly voter: Voter;
	readonly stop: () => Promise<void>;
};

const HAND_OVER_MS = 300;

const startVoter = async ({settings, logger, timers, pool}: Foundation, voterSettings: VoterSettings): Promise<RunningVoter> => {
	const voter = new Voter({
		vm: settings.vm,
		settings: voterSettings,
		controlAddresses: settings.controlAddresses,
		pool,
		timers,
		logger,
		onFailure(error) {
			logger.fatal({event: 'storage-failed', code: error.code, reason: error.message}, 'storage failed');
			process.exit(1); // eslint-disable-line n/prefer-global/process, unicorn/no-process-exit
		},
	});
	const membership = {leaseMs: voterSettings.leaseMs, assumeLostMs: voterSettings.assumeLostMs};
	const leader = new Leader({
		voter, membership, policy: voterSettings.policy, timers, logger,
	});
	const sessions = new Sessions(voter, leader, timers);
	const initialOperatorHash = settings.operatorKeyFile === undefined ? '' : hashKey(readFileSync(settings.operatorKeyFile, 'utf8').trim());
	const server = new GrpcServer([
		{definition: newServiceDefinition(Consensus), implementation: newConsensusService(voter)},
		{
			definition: newServiceDefinition(Control),
			implementation: newControlService({
				voter, leader, sessions, initialOperatorHash,
			}),
		},
	]);
	await voter.open();
	await server.listen(voterSettings.listen, newServerCredentials(settings.tls));
	leader.start();
	sessions.start();
	return {
		voter,
		async stop() {
			if (voter.node?.isLeader) {
				voter.node.transfer();
				await timers.wait(HAND_OVER_MS);
			}

			sessions.close();
			await voter.stop();
			server.stop();
		},
	};
};

const waitUntilIdle = async (timers: TimerService, dispatcher: Dispatcher, limitMs: number): Promise<void> => {
	const endsAt = SYSTEM_CLOCK.now() + limitMs;
	while (dispatcher.inProgress > 0 && SYSTEM_CLOCK.now() < endsAt) {
		await timers.wait(20);
	}
};

/** Starts an entry, with a voter where the settings say so. */
export const startEntry = async (settings: EntrySettings, logger: Logger): Promise<Stoppable> => {
	const timers = new TimerService(SYSTEM_CLOCK);
	const pool = new ChannelPool(newChannelCredentials(settings.tls));
	const foundation = {
		settings, logger, timers, pool,
	};
	const running = settings.voter ? await startVoter(foundation, settings.voter) : undefined;
	const follower = new IntentFollower(SYSTEM_CLOCK);
	const keys = new KeyIndex();
	const metrics = new Metrics();
	let isStopping = false;
	const getClosedCode = (): ResultCodeValue | undefined => {
		if (isStopping) {
			return RESULT_CODE.Draining;
		}

		return follower.ageMs > settings.maxConfigurationAgeMs ? RESULT_CODE.ConfigurationTooOld : undefined;
	};

	const dispatcher = new Dispatcher({
		entry: settings.vm,
		settings: {...ADMISSION_DEFAULTS, dataCentre: settings.dataCentre},
		maxAnswerBytes: settings.maxAnswerBytes,
		pool,
		timers,
		clock: SYSTEM_CLOCK,
		metrics,
		getIntent: () => follower.intent,
		onColdDemand() {
			session.reportSoon();
		},
		onEnd({requestId, request, arrivedAt}, code) {
			logger.info({
				event: 'request-ended', requestId, team: request.team, class: request.className, target: request.target, code, tookMs: Math.round(SYSTEM_CLOCK.now() - arrivedAt),
			}, 'request ended');
		},
	});
	const newLeaderCalls = (): LeaderCalls => new LeaderCalls(pool, settings.controlAddresses, timers);
	const handler = new HttpHandler({
		follower,
		keys,
		dispatcher,
		claims: new ClaimClient(newLeaderCalls()),
		timers,
		clock: SYSTEM_CLOCK,
		logger,
		maxBodyBytes: settings.maxBodyBytes,
		streamStallMs: settings.streamStallMs,
		getClosedCode,
	});
	const getUnreadyReason = (): string | undefined => {
		const code = getClosedCode();
		return code === undefined ? undefined : RESULT_DETAILS[code].name;
	};

	const callers = new CallerServer(handler, settings, getUnreadyReason);
	const session: SessionClient = new SessionClient({
		pool,
		leader: newLeaderCalls(),
		timers,
		clock: SYSTEM_CLOCK,
		logger,
		heartbeatMs: settings.heartbeatMs,
		newReport: sentAt => create(SessionReportSchema, {
			report: {
				case: 'entry',
				value: {
					vm: settings.vm,
					sentAt,
					revision: follower.reportedRevision,
					demands: dispatcher.takeDemands().map(({target, ...demand}) => ({unit: target, ...demand, inProgress: 0})),
					inProgress: dispatcher.inProgress,
					waiting: dispatcher.waiting,
				},
			},
		}),
		onUpdate(update: SessionUpdate) {
			if (follower.take(update)) {
				keys.refresh(follower.intent);
			}

			dispatcher.takeEndpoints(update.endpoints, update.entryCount);
		},
	});
	session.start();
	timers.repeat(settings.heartbeatMs, () => {
		if (getClosedCode() === RESULT_CODE.ConfigurationTooOld) {
			dispatcher.refuseWaiting(RESULT_CODE.ConfigurationTooOld);
		}
	});
	await callers.listen();
	const admin = await startAdminServer({
		...settings.admin,
		metrics,
		getUnreadyReason,
		refreshMetrics() {
			metrics.revision.set(follower.intent.revision);
			metrics.configurationAge.set(follower.ageMs / 1000);
		},
	});
	logger.info({event: 'started'}, 'entry started');

	return {
		async stop() {
			isStopping = true;
			await timers.wait(settings.balancerDelayMs);
			callers.close();
			await waitUntilIdle(timers, dispatcher, settings.stopLimitMs);
			dispatcher.cutAll(RESULT_CODE.Draining);
			session.stop();
			await running?.stop();
			admin.close();
			pool.close();
			timers.stop();
		},
		stopNow() {
			isStopping = true;
			dispatcher.cutAll(RESULT_CODE.Draining);
		},
	};
};
