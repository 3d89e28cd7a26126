import type {GrpcServer} from '../grpc-server.js';
import type {Leader} from './leader.js';
import type {ControlSessions} from './control-sessions.js';
import type {Voter} from './voter.js';

/** A voter together with the services that it provides to the installation while it is the leader. */
export type ControlPlane = {
	readonly voter: Voter;
	readonly leader: Leader;
	readonly sessions: ControlSessions;
	readonly server: GrpcServer;
};
