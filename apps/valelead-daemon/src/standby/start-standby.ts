import {SYSTEM_CLOCK, TimerService} from '@valelead/common';
import {
	ChannelPool, Consensus, Control, newServiceDefinition,
} from '@valelead/protocol';
import type {Logger} from 'pino';
import type {Adapter} from '../adapter/adapter.js';
import {startAdminServer} from '../admin-server.js';
import {getPeerAddresses} from '../follower/get-peer-addresses.js';
import {getGraceEnd} from '../get-grace-end.js';
import {GrpcServer} from '../grpc-server.js';
import {Metrics} from '../metrics/metrics.js';
import type {ControllerSettings} from '../settings/controller-settings.js';
import type {Stoppable} from '../stoppable.js';
import {getStartupDurationMs} from '../get-startup-duration-ms.js';
import {newChannelCredentials} from '../tls/new-channel-credentials.js';
import {newServerCredentials} from '../tls/new-server-credentials.js';
import {LeaderFinder} from './leader-finder.js';
import {newStandbyConsensusService} from './new-standby-consensus-service.js';
import {newStandbyControlService} from './new-standby-control-service.js';
import {StandbyServer} from './standby-server.js';

/**
 * Starts a controller on a VM without a disk. A vote or a copy of the log that is lost with the process gives no safety in a power failure, so this
 * controller has neither and redirects all callers to the leader.
 */
export const startStandby = async (settings: ControllerSettings, logger: Logger, adapter: Adapter): Promise<Stoppable> => {
	const metrics = new Metrics();
	const timers = new TimerService(SYSTEM_CLOCK);
	const pool = new ChannelPool(newChannelCredentials(settings.tls));
	const finder = new LeaderFinder({
		vm: settings.vm, ownAddress: `${settings.host}:${settings.peerPort}`, addresses: getPeerAddresses(settings), pool, clock: SYSTEM_CLOCK, timers, logger,
	});
	const server = new GrpcServer([
		{definition: newServiceDefinition(Consensus), implementation: newStandbyConsensusService(settings.vm, finder)},
		{definition: newServiceDefinition(Control), implementation: newStandbyControlService(finder)},
	]);
	const control = new StandbyServer({
		codec: adapter.control, finder, address: settings.control, timers,
	});
	await server.listen(`${settings.listenHost ?? settings.host}:${settings.peerPort}`, newServerCredentials(settings.tls));
	await control.listen();
	const admin = await startAdminServer({
		...settings.admin,
		metrics,
		getUnreadyReason: () => undefined,
		refreshMetrics: () => undefined,
	});
	logger.info({
		event: 'started', control: settings.control, isStandby: true, startMs: getStartupDurationMs(),
	}, 'controller started without a data folder; it redirects callers to the leader');
	return {
		async stop() {
			await control.stop(getGraceEnd(SYSTEM_CLOCK.now(), settings.graceSeconds));
			server.stop();
			await control.waitUntilClosed();
			admin.close();
			pool.close();
			timers.stop();
		},
		stopNow() {
			control.stopNow();
		},
		reload(next) {
			if (next.role === 'controller') {
				finder.configure(getPeerAddresses(next));
			}
		},
	};
};
