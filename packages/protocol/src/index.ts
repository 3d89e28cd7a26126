export {newServiceDefinition} from './new-service-definition.js';
export {Channel} from './channel.js';
export {ChannelPool} from './channel-pool.js';
export {LeaderClient} from './leader-client.js';
export * from './generated/valelead/v1/consensus_pb.js';
export * from './generated/valelead/v1/control_pb.js';
export * from './generated/valelead/v1/agent_pb.js';
export * from './generated/valelead/v1/residency_pb.js';
