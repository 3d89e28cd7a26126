import {readFileSync} from 'node:fs';
import {SYSTEM_CLOCK, TimerService} from '@valelead/common';
import {
	ChannelPool, Consensus, Control, newServiceDefinition,
} from '@valelead/protocol';
import type {Logger} from 'pino';
import type {Adapter} from '../adapter/adapter.js';
import {startAdminServer} from '../admin-server.js';
import {FollowerSessions} from '../control/follower-sessions.js';
import {Leader} from '../control/leader.js';
import {newConsensusService} from '../control/new-consensus-service.js';
import {newControlService} from '../control/new-control-service.js';
import {Sessions} from '../control/sessions.js';
import {UpstreamRegistry} from '../control/upstream-registry.js';
import {Voter} from '../control/voter.js';
import {getPeerAddresses} from '../follower/get-peer-addresses.js';
import {exitWithLogs} from '../exit-with-logs.js';
import {GrpcServer} from '../grpc-server.js';
import {hashKey} from '../hash-key.js';
import {Metrics} from '../metrics/metrics.js';
import type {ControllerSettings} from '../settings/controller-settings.js';
import type {Stoppable} from '../stoppable.js';
import {newChannelCredentials} from '../tls/new-channel-credentials.js';
import {newServerCredentials} from '../tls/new-server-credentials.js';
import {ControlServer} from './control-server.js';
import {POLICY_DEFAULTS} from './policy-defaults.js';

/** How long the successor has to take over before the old leader stops answering, in milliseconds. */
const HAND_OVER_MS = 300;

/** A VM that is silent for longer gets no new work, in milliseconds. */
const LEASE_MS = 2000;

const newVoter = (settings: ControllerSettings, logger: Logger, timers: TimerService, pool: ChannelPool): Voter => new Voter({
	vm: settings.vm,
	settings: {...settings, listen: `${settings.host}:${settings.peerPort}`},
	mayForm: settings.mayForm,
	controlAddresses: getPeerAddresses(settings),
	pool,
	timers,
	logger,
	onFailure(error) {
		logger.fatal({event: 'storage-failed', code: error.code, reason: error.message}, 'storage failed');
		exitWithLogs(logger, 1);
	},
});

/** Starts a controller: a voter that serves operators, upstreams and followers while it leads. */
export const startController = async (settings: ControllerSettings, logger: Logger, adapter: Adapter): Promise<Stoppable> => {
	const timers = new TimerService(SYSTEM_CLOCK);
	const pool = new ChannelPool(newChannelCredentials(settings.tls));
	const voter = newVoter(settings, logger, timers, pool);
	const leader = new Leader({
		voter, membership: {leaseMs: LEASE_MS, assumeLostMs: 0}, policy: POLICY_DEFAULTS, timers, logger,
	});
	const registry: UpstreamRegistry = new UpstreamRegistry({
		voter,
		clock: SYSTEM_CLOCK,
		timers,
		logger,
		announceMs: settings.announceMs,
		onChange() {
			followers.pushSoon();
		},
	});
	const followers = new FollowerSessions(voter, registry, timers);
	const sessions = new Sessions(voter, leader, timers, followers);
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
	const control = new ControlServer({
		codec: adapter.control, voter, registry, followers, address: settings.control, timers, logger,
	});
	const metrics = new Metrics();
	await server.listen(`${settings.listenHost ?? settings.host}:${settings.peerPort}`, newServerCredentials(settings.tls));
	await voter.open();
	leader.start();
	sessions.start();
	registry.start();
	followers.start();
	await control.listen();
	const admin = await startAdminServer({
		...settings.admin,
		metrics,
		getUnreadyReason: () => voter.node ? undefined : 'no quorum yet',
		refreshMetrics() {
			metrics.revision.set(voter.machine.routing?.version ?? 0);
		},
	});
	logger.info({event: 'started', control: settings.control}, 'controller started');
	return {
		async stop() {
			if (voter.node?.isLeader) {
				voter.node.transfer();
				await timers.wait(HAND_OVER_MS);
			}

			control.close();
			sessions.close();
			await voter.stop();
			server.stop();
			admin.close();
			pool.close();
			timers.stop();
		},
		stopNow() {
			control.close();
		},
	};
};
