import {create} from '@bufbuild/protobuf';
import {RESULT_CODE} from '@valelead/common';
import {
	type ConsensusEnvelope, type DeliverReply, type IdentifyRequest, IdentifyReplySchema, JoinReplySchema,
} from '@valelead/protocol';
import type {
	sendUnaryData, ServerDuplexStream, ServerUnaryCall, UntypedServiceImplementation,
} from '@grpc/grpc-js';
import type {LeaderFinder} from './leader-finder.js';

/** Answers voters for a controller that is none: it names the controllers that it knows, and takes no part. */
export const newStandbyConsensusService = (vm: string, finder: LeaderFinder): UntypedServiceImplementation => ({
	deliver(stream: ServerDuplexStream<ConsensusEnvelope, DeliverReply>) {
		// A voter that was here before this process lost its disk; what is for it is read and dropped.
		stream.on('data', () => undefined);
		const end = (): void => {
			stream.end();
		};

		stream.on('end', end);
		stream.on('error', end);
	},
	identify({request}: ServerUnaryCall<IdentifyRequest, unknown>, reply: sendUnaryData<unknown>) {
		finder.addAddresses([request.address]);
		// Who leads is for the voters to say: controllers that repeat each other's word never learn that it is outdated.
		reply(null, create(IdentifyReplySchema, {vm, isStandby: true, voterAddresses: finder.addresses}));
	},
	async join(_call: ServerUnaryCall<unknown, unknown>, reply: sendUnaryData<unknown>) {
		reply(null, create(JoinReplySchema, {code: RESULT_CODE.NotLeader, leaderAddress: await finder.find()}));
	},
});
