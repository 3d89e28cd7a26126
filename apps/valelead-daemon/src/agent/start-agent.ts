import {SYSTEM_CLOCK, TimerService} from '@valelead/common';
import {HttpUpstream} from '@valelead/engine';
import {
	Agent as AgentDescription, ChannelPool, LeaderClient, newServiceDefinition,
} from '@valelead/protocol';
import type {Logger} from 'pino';
import {startAdminServer} from '../admin-server.js';
import {GrpcServer} from '../grpc-server.js';
import {Metrics} from '../metrics/metrics.js';
import {SessionClient} from '../session-client.js';
import {newChannelCredentials} from '../tls/new-channel-credentials.js';
import {newServerCredentials} from '../tls/new-server-credentials.js';
import type {AgentDaemonSettings} from '../settings/agent-daemon-settings.js';
import type {Stoppable} from '../stoppable.js';
import {getStartupDurationMs} from '../get-startup-duration-ms.js';
import {Agent} from './agent.js';
import {acquireGuardPort} from './acquire-guard-port.js';
import {newAgentService} from './new-agent-service.js';

/** The polling interval while waiting for the first status of the upstream and for requests in progress, in milliseconds. */
const STATUS_POLL_INTERVAL_MS = 50;

/** Starts the agent of one upstream VM. The agent contacts the leader after the first status of the upstream. */
export const startAgent = async (settings: AgentDaemonSettings, logger: Logger): Promise<Stoppable> => {
	const guard = await acquireGuardPort(settings.guardPort);
	const timers = new TimerService(SYSTEM_CLOCK);
	const pool = new ChannelPool(newChannelCredentials(settings.tls));
	const upstream = new HttpUpstream(settings.upstream.host, settings.upstream.port, settings.orderTimeoutMs);
	const metrics = new Metrics();
	const agent = new Agent({
		settings, upstream, timers, logger,
	});
	const session = new SessionClient({
		pool,
		leader: new LeaderClient(pool, settings.controlAddresses, timers),
		timers,
		clock: SYSTEM_CLOCK,
		logger,
		heartbeatMs: settings.heartbeatMs,
		newReport: sentAt => agent.newReport(sentAt),
		onUpdate(update) {
			agent.applyUpdate(update);
		},
	});
	const service = newAgentService(agent, upstream, () => {
		session.scheduleReport();
	});
	const server = new GrpcServer([{definition: newServiceDefinition(AgentDescription), implementation: service.implementation}]);
	await server.listen(settings.listen, newServerCredentials(settings.tls));
	const admin = await startAdminServer({
		...settings.admin,
		metrics,
		getUnreadyReason: () => agent.isReady ? undefined : 'not ready',
		refreshMetrics() {
			metrics.revision.set(agent.state.revision);
			metrics.configurationAge.set((SYSTEM_CLOCK.now() - agent.state.confirmedAt) / 1000);
		},
	});
	const startupCheck = timers.repeat(STATUS_POLL_INTERVAL_MS, () => {
		if (agent.hasStatus) {
			startupCheck.cancel();
			session.start();
			logger.info({event: 'started', startMs: getStartupDurationMs()}, 'agent started');
		}
	});

	return {
		async stop() {
			agent.handleEvent({kind: 'stop'});
			const endsAt = SYSTEM_CLOCK.now() + settings.stopLimitMs;
			while (agent.state.inProgress > 0 && SYSTEM_CLOCK.now() < endsAt) {
				await timers.wait(STATUS_POLL_INTERVAL_MS);
			}

			await timers.wait(STATUS_POLL_INTERVAL_MS);
			startupCheck.cancel();
			session.stop();
			// Entries may not have received the whole of the responses yet.
			service.closeLanes();
			await server.finish(timers);
			server.stop();
			admin.close();
			pool.close();
			timers.stop();
			guard.close();
		},
		stopNow() {
			server.stop();
		},
	};
};
