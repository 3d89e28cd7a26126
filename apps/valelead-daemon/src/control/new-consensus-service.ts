import {create} from '@bufbuild/protobuf';
import {RESULT_CODE} from '@valelead/common';
import {
	type ConsensusEnvelope, type DeliverReply, type JoinRequest, DeliverReplySchema, IdentifyReplySchema, JoinReplySchema,
} from '@valelead/protocol';
import type {
	sendUnaryData, ServerDuplexStream, ServerUnaryCall, UntypedServiceImplementation,
} from '@grpc/grpc-js';
import type {ConsensusMessage} from '@valelead/consensus';
import type {Voter} from './voter.js';

/** Creates the gRPC service through which controllers exchange consensus messages, identify each other and join the quorum. */
export const newConsensusService = (voter: Voter): UntypedServiceImplementation => ({
	deliver(stream: ServerDuplexStream<ConsensusEnvelope, DeliverReply>) {
		const reply = create(DeliverReplySchema);
		stream.on('data', ({from, fromAddress, to, message}: ConsensusEnvelope) => {
			if (voter.node?.id === to && message.case) {
				voter.node.receive({id: from, address: fromAddress}, {...message.value, kind: message.case} as unknown as ConsensusMessage);
			}

			stream.write(reply);
		});
		const end = (): void => {
			stream.end();
		};

		stream.on('end', end);
		stream.on('error', end);
	},
	identify(_call: ServerUnaryCall<unknown, unknown>, reply: sendUnaryData<unknown>) {
		const {id, vm} = voter.record;
		const formation = [...(voter.node?.formation ?? [])];
		const isFormed = voter.node !== undefined;
		const voterAddresses = (voter.node?.voters ?? []).map(({address}) => address);
		reply(null, create(IdentifyReplySchema, {
			id, vm, formation, isFormed, leaderAddress: getLeaderAddress(voter), voterAddresses, proposal: [...voter.proposal], isFounder: voter.isFounder,
		}));
	},
	async join(call: ServerUnaryCall<JoinRequest, unknown>, reply: sendUnaryData<unknown>) {
		const code = await admit(voter, call.request);
		reply(null, create(JoinReplySchema, {code, leaderAddress: voter.leaderAddress}));
	},
});

/** Returns the address of the leader. A leader without a valid lease returns an empty address because another voter may lead by now. */
const getLeaderAddress = ({node, leaderAddress}: Voter): string => node?.isLeader && !node.isCurrentLeader ? '' : leaderAddress;

const admit = async (voter: Voter, request: JoinRequest): Promise<number> => {
	if (!voter.node?.isCurrentLeader || !request.voter) {
		return RESULT_CODE.NotLeader;
	}

	const {id, vm, address} = request.voter;
	try {
		await voter.admit({
			id, vm, address, isLearner: false,
		});
		return RESULT_CODE.Ok;
	} catch {
		return RESULT_CODE.NotLeader;
	}
};
