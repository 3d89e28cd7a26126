import {readFileSync} from 'node:fs';
import {hashKey} from '@valelead/access';
import {SYSTEM_CLOCK, type TimerService} from '@valelead/common';
import {
	Consensus, Control, StreamOrigins, newServiceDefinition,
} from '@valelead/protocol';
import type {MembershipSettings} from '@valelead/membership';
import type {PolicySettings} from '@valelead/placement';
import type {Logger} from 'pino';
import {GrpcServer} from '../grpc-server.js';
import {newOriginService} from '../stream-origins/new-origin-service.js';
import type {OriginStore} from '../stream-origins/origin-store.js';
import {Leader} from './leader.js';
import {newConsensusService} from './new-consensus-service.js';
import {newControlService} from './new-control-service.js';
import {ControlSessions} from './control-sessions.js';
import type {ControlPlane} from './control-plane.js';
import type {FollowerSessions} from './follower-sessions.js';
import type {LeaderWatch} from './leader-watch.js';
import type {RouteServices} from './route-services.js';
import type {SoftwareVersions} from './software-versions.js';
import type {Voter} from './voter.js';

type ControlPlaneParts = {
	readonly voter: Voter;
	readonly membership: MembershipSettings;
	readonly policy: PolicySettings;
	/** File with the initial operator key, if the settings have one. */
	readonly operatorKeyFile: string | undefined;
	/** Sessions with gateways and sidecars, if the voter serves these. */
	readonly followers?: FollowerSessions;
	readonly watch: LeaderWatch;
	/** Origins of gateways' streams and the versions at which they may have begun, if the voter stores them. */
	readonly origins?: {readonly store: OriginStore; readonly versions: SoftwareVersions; readonly routes: RouteServices};
	readonly timers: TimerService;
	readonly logger: Logger;
};

/** Creates the services of a voter without starting them or listening on a port. */
export const newControlPlane = (parts: ControlPlaneParts): ControlPlane => {
	const {
		voter, membership, policy, operatorKeyFile, followers, watch, origins, timers, logger,
	} = parts;
	const leader = new Leader({
		voter, membership, policy, timers, logger,
	});
	const sessions = new ControlSessions({
		voter, leader, watch, timers, followers, logger,
	});
	const initialOperatorHash = operatorKeyFile === undefined ? '' : hashKey(readFileSync(operatorKeyFile, 'utf8').trim());
	const server = new GrpcServer([
		{definition: newServiceDefinition(Consensus), implementation: newConsensusService(voter)},
		{
			definition: newServiceDefinition(Control),
			implementation: newControlService({
				voter, leader, sessions, initialOperatorHash,
			}),
		},
		...(origins ? [{definition: newServiceDefinition(StreamOrigins), implementation: newOriginService({...origins, clock: SYSTEM_CLOCK})}] : []),
	]);
	return {
		voter, leader, sessions, server,
	};
};
