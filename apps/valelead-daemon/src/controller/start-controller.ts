import {SYSTEM_CLOCK, TimerService} from '@valelead/common';
import {ChannelPool} from '@valelead/protocol';
import {SMALL_WAITING_RESERVE_SHARE} from '@valelead/quota';
import type {Logger} from 'pino';
import type {Adapter} from '../adapter/adapter.js';
import {startAdminServer} from '../admin-server.js';
import {BudgetShares} from '../control/budget-shares.js';
import {CommittedRouting} from '../control/committed-routing.js';
import {FollowerSessions} from '../control/follower-sessions.js';
import {GatewayLeases} from '../control/gateway-leases.js';
import {transferLeadership} from '../control/transfer-leadership.js';
import {LeaderWatch} from '../control/leader-watch.js';
import {LimitRegistry} from '../control/limit-registry.js';
import {newControlPlane} from '../control/new-control-plane.js';
import {newVoter} from '../control/new-voter.js';
import {OrderLeases} from '../control/order-leases.js';
import {QuarantineRegistry} from '../control/quarantine-registry.js';
import {QuorumWatch} from '../control/quorum-watch.js';
import {QuotaRegistry} from '../control/quota-registry.js';
import {RoutingRollout} from '../control/routing-rollout.js';
import {RouteServices} from '../control/route-services.js';
import {SoftwareVersions} from '../control/software-versions.js';
import {UpstreamRegistry} from '../control/upstream-registry.js';
import {WithdrawalRecorder} from '../control/withdrawal-recorder.js';
import {getPeerAddresses} from '../follower/get-peer-addresses.js';
import {getGraceEnd} from '../get-grace-end.js';
import {Metrics} from '../metrics/metrics.js';
import {setQuotaMetrics} from '../metrics/set-quota-metrics.js';
import {setQuorumMetrics} from '../metrics/set-quorum-metrics.js';
import type {VotingControllerSettings} from '../settings/voting-controller-settings.js';
import type {Stoppable} from '../stoppable.js';
import {OriginStore} from '../stream-origins/origin-store.js';
import {getStartupDurationMs} from '../get-startup-duration-ms.js';
import {newChannelCredentials} from '../tls/new-channel-credentials.js';
import {newServerCredentials} from '../tls/new-server-credentials.js';
import {ControlServer} from './control-server.js';
import {RefusalLog} from './refusal-log.js';
import {POLICY_DEFAULTS} from './policy-defaults.js';

/** A VM that has sent no heartbeat for longer is given no new work, in milliseconds. */
const LEASE_MS = 2000;

const MS_PER_SECOND = 1000;

/** Starts a controller: a voter that serves operators, upstreams, gateways and sidecars while it is the leader. */
export const startController = async (settings: VotingControllerSettings, logger: Logger, adapter: Adapter): Promise<Stoppable> => {
	const metrics = new Metrics();
	const timers = new TimerService(SYSTEM_CLOCK);
	const pool = new ChannelPool(newChannelCredentials(settings.tls));
	const voter = newVoter({
		vm: settings.vm,
		options: {...settings, listen: `${settings.host}:${settings.peerPort}`},
		mayForm: settings.mayForm,
		controlAddresses: getPeerAddresses(settings),
		logger,
		timers,
		pool,
	});
	const quorum = new QuorumWatch({
		voter, faultTolerance: settings.faultTolerance, clock: SYSTEM_CLOCK, timers, logger,
	});
	const routing = new CommittedRouting({getRouting: () => voter.machine.routing, decodeRouting: adapter.control.decodeRouting, logger});
	const registry: UpstreamRegistry = new UpstreamRegistry({
		voter,
		getServices: () => routing.services,
		clock: SYSTEM_CLOCK,
		timers,
		logger,
		announceMs: settings.announceMs,
		onChange() {
			followers.schedulePush();
		},
		onEngineModels(upstream) {
			followers.sendToLeaseHolder(upstream);
		},
	});
	const versions = new SoftwareVersions({
		voter, getUpstreams: () => [...registry.directory.entries.values()].map(({upstream}) => upstream), timers, logger,
	});
	const routes = new RouteServices({
		voter, getRouting: () => routing.routing, timers, logger,
	});
	const leases = new OrderLeases({
		voter, registry, getEngineServices: () => routing.engineServices, settings, timers, clock: SYSTEM_CLOCK, logger,
	});
	const gatewayLeases = new GatewayLeases({clock: SYSTEM_CLOCK, getTerm: () => voter.node?.term ?? 0, getCommittedCount: () => voter.machine.gatewayCount});
	const quarantine = new QuarantineRegistry({
		voter,
		getPauseThreshold: () => gatewayLeases.pauseThreshold,
		clock: SYSTEM_CLOCK,
		timers,
		logger,
		onChange() {
			followers.schedulePush();
		},
	});
	const quotas = new QuotaRegistry({
		voter,
		getQuotas: () => routing.quotas,
		tolerance: {windowMs: settings.quotaWindowSeconds * MS_PER_SECOND, overshoot: settings.quotaOvershoot, slack: settings.quotaSlack},
		waitingReserveShare: SMALL_WAITING_RESERVE_SHARE,
		areTermsCounted: true,
		areRatesLent: settings.quotaRateLoans,
		clock: SYSTEM_CLOCK,
		timers,
	});
	const limits = new LimitRegistry({
		voter,
		isAnnounced: upstreamId => registry.directory.entries.has(upstreamId),
		clock: SYSTEM_CLOCK,
		timers,
		logger,
		onChange() {
			followers.schedulePush();
		},
	});
	const watch = new LeaderWatch({
		voter, electionTimeoutMs: settings.electionTimeoutMs, clock: SYSTEM_CLOCK, timers,
	});
	const rollout = new RoutingRollout({
		clock: SYSTEM_CLOCK,
		timers,
		logger,
		onConfirmed(role, lagMs) {
			metrics.routingLag.observe({role}, lagMs / MS_PER_SECOND);
		},
	});
	const shares = new BudgetShares({voter, clock: SYSTEM_CLOCK, logger});
	const followers = new FollowerSessions({
		voter, registry, leases, quarantine, gatewayLeases, shares, quotas, limits, watch, rollout, timers,
	});
	const origins = new OriginStore({clock: SYSTEM_CLOCK, timers});
	const {leader, sessions, server} = newControlPlane({
		voter,
		membership: {leaseMs: LEASE_MS, assumeLostMs: 0},
		policy: POLICY_DEFAULTS,
		operatorKeyFile: settings.operatorKeyFile,
		followers,
		watch,
		origins: {store: origins, versions, routes},
		timers,
		logger,
	});
	const control = new ControlServer({
		codec: adapter.control,
		voter,
		registry,
		versions,
		routes,
		withdrawals: new WithdrawalRecorder({voter, clock: SYSTEM_CLOCK, logger}),
		followers,
		address: settings.control,
		timers,
		logger,
		refusals: new RefusalLog({clock: SYSTEM_CLOCK, logger}),
		onRefusal(call, code) {
			metrics.refusedControlCalls.inc({call: call.kind, code});
		},
	});
	await server.listen(`${settings.listenHost ?? settings.host}:${settings.peerPort}`, newServerCredentials(settings.tls));
	await voter.open();
	quorum.start();
	watch.start();
	leader.start();
	sessions.start();
	registry.start();
	versions.start();
	routes.start();
	leases.start();
	quarantine.start();
	quotas.start();
	limits.start();
	followers.start();
	await control.listen();
	const admin = await startAdminServer({
		...settings.admin,
		metrics,
		getUnreadyReason: () => voter.node ? undefined : 'no quorum yet',
		refreshMetrics() {
			metrics.revision.set(voter.machine.routing?.version ?? 0);
			metrics.unmanagedEngines.set(leases.unattendedCount);
			metrics.limitedUpstreams.set(limits.count);
			metrics.storedStreamOrigins.set(origins.size);
			setQuotaMetrics(metrics, quotas.levels);
			setQuorumMetrics(metrics, quorum.view, settings.faultTolerance);
		},
	});
	logger.info({event: 'started', control: settings.control, startMs: getStartupDurationMs()}, 'controller started');
	return {
		async stop() {
			const endsAt = getGraceEnd(SYSTEM_CLOCK.now(), settings.graceSeconds);
			control.closeAfterResponses();
			await transferLeadership(voter, timers);
			// The voter and its followers settle the calls in progress.
			await control.stop(endsAt);
			sessions.close();
			await voter.stop();
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
				voter.configure(getPeerAddresses(next));
			}
		},
	};
};
