import {SYSTEM_CLOCK, SYSTEM_SUSPENSIONS, TimerService} from '@valelead/common';
import {ChannelPool, Residency, newServiceDefinition} from '@valelead/protocol';
import type {Logger} from 'pino';
import type {Adapter} from '../adapter/adapter.js';
import {startAdminServer} from '../admin-server.js';
import {RoutingFollower} from '../follower/routing-follower.js';
import {GrpcServer} from '../grpc-server.js';
import {Metrics} from '../metrics/metrics.js';
import type {SidecarSettings} from '../settings/sidecar-settings.js';
import type {Stoppable} from '../stoppable.js';
import {getStartupDurationMs} from '../get-startup-duration-ms.js';
import {newChannelCredentials} from '../tls/new-channel-credentials.js';
import {newServerCredentials} from '../tls/new-server-credentials.js';
import {EngineClient} from './engine-client.js';
import {EngineManager} from './engine-manager.js';
import {newEngineCopies} from './new-engine-copies.js';
import {getOrderStart} from './get-order-start.js';
import {LOCAL_POLL_INTERVALS} from './local-poll-intervals.js';
import {newCapacity} from './new-capacity.js';
import {newResidencyService} from './new-residency-service.js';
import {SIDECAR_FENCE} from './sidecar-fence.js';

/** Starts the sidecar of an engine. No other process sends orders to that engine while its sidecar runs. */
export const startSidecar = async (settings: SidecarSettings, logger: Logger, adapter: Adapter): Promise<Stoppable> => {
	const timers = new TimerService(SYSTEM_CLOCK);
	const pool = new ChannelPool(newChannelCredentials(settings.tls));
	const client = new EngineClient(settings.engine, adapter.engine, timers);
	const manager = new EngineManager({
		holder: settings.vm, concurrentStoreLoads: settings.concurrentStoreLoads, client, timers, clock: SYSTEM_CLOCK, logger, fence: SIDECAR_FENCE, pollIntervals: LOCAL_POLL_INTERVALS,
	});
	let ordersStartAt: number | undefined;
	const follower = new RoutingFollower({
		settings,
		codec: adapter.control,
		pool,
		timers,
		clock: SYSTEM_CLOCK,
		suspensions: SYSTEM_SUSPENSIONS,
		logger,
		orderLeases: {
			getReport: () => ({
				attendedEngines: [settings.engine], keeperAddress: '', isStopping: false, leases: [], endedLeases: [],
			}),
			handleUpdate(grant) {
				ordersStartAt = getOrderStart(ordersStartAt, grant, SYSTEM_CLOCK.now());
				manager.setOrderStart(ordersStartAt);
			},
		},
		onRouting(table) {
			manager.setCapacity(newCapacity(table, settings.service));
		},
		onDirectory(upstreams) {
			manager.setEngines(newEngineCopies(upstreams, settings.service));
			const engine = upstreams.findLast(upstream => upstream.address === settings.engine);
			if (engine) {
				manager.setRun(engine);
			}
		},
	});
	const server = new GrpcServer([{definition: newServiceDefinition(Residency), implementation: newResidencyService(() => manager)}]);
	const metrics = new Metrics();
	await server.listen(`${settings.listenHost ?? settings.host}:${settings.sidecarPort}`, newServerCredentials(settings.tls));
	follower.start();
	manager.start();
	const admin = await startAdminServer({
		...settings.admin,
		metrics,
		getUnreadyReason: () => undefined,
		refreshMetrics() {
			metrics.revision.set(follower.table?.routing.version ?? 0);
		},
	});
	logger.info({event: 'started', engine: settings.engine, startMs: getStartupDurationMs()}, 'sidecar started');
	return {
		async stop() {
			manager.stop();
			follower.stop();
			server.stop();
			client.close();
			admin.close();
			pool.close();
			timers.stop();
		},
		stopNow() {
			manager.stop();
		},
	};
};
