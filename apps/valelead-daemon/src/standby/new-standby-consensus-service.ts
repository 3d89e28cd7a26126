import {create} from '@bufbuild/protobuf';
import {RESULT_CODE} from '@valelead/common';
import {
	type ConsensusEnvelope, type DeliverReply, type IdentifyRequest, IdentifyReplySchema, JoinReplySchema,
} from '@valelead/protocol';
import type {
	sendUnaryData, ServerDuplexStream, ServerUnaryCall, UntypedServiceImplementation,
} from '@grpc/grpc-js';
import type {LeaderFinder} from './leader-finder.js';

/** Creates the consensus service of a controller that is not a voter. It reports the controllers that it knows and takes no part in the consensus. */
export const newStandbyConsensusService = (vm: string, finder: LeaderFinder): UntypedServiceImplementation => ({
	deliver(stream: ServerDuplexStream<ConsensusEnvelope, DeliverReply>) {
		// A voter that ran at this address before has lost its disk. Messages for it are read and dropped.
		stream.on('data', () => undefined);
		const end = (): void => {
			stream.end();
		};

		stream.on('end', end);
		stream.on('error', end);
	},
	identify({request}: ServerUnaryCall<IdentifyRequest, unknown>, reply: sendUnaryData<unknown>) {
		finder.addAddresses([request.address]);
		// Reports no leader, only voters do: standby controllers that repeated each other's reports would never notice that these are outdated.
		reply(null, create(IdentifyReplySchema, {vm, isStandby: true, voterAddresses: finder.addresses}));
	},
	async join(_call: ServerUnaryCall<unknown, unknown>, reply: sendUnaryData<unknown>) {
		reply(null, create(JoinReplySchema, {code: RESULT_CODE.NotLeader, leaderAddress: await finder.find()}));
	},
});
