import type {GrpcServer} from '../grpc-server.js';
import type {Leader} from './leader.js';
import type {ControlSessions} from './control-sessions.js';
import type {Voter} from './voter.js';

/** A voter with what it serves to the installation while it leads. */
export type ControlPlane = {
	readonly voter: Voter;
	readonly leader: Leader;
	readonly sessions: ControlSessions;
	readonly server: GrpcServer;
};
