import {create} from '@bufbuild/protobuf';
import {RESULT_CODE, RESULT_DETAILS} from '@valelead/common';
import {
	type SessionReport, type SessionUpdate, ClaimReplySchema, ExecuteReplySchema, QueryReplySchema, SessionUpdateSchema,
} from '@valelead/protocol';
import type {
	sendUnaryData, ServerDuplexStream, UntypedServiceImplementation,
} from '@grpc/grpc-js';
import type {LeaderFinder} from './leader-finder.js';

const REFUSAL = {code: RESULT_CODE.NotLeader, message: RESULT_DETAILS[RESULT_CODE.NotLeader].meaning};

/** Creates the control service of a standby controller. It redirects operators, entries and followers to the leader. */
export const newStandbyControlService = (finder: LeaderFinder): UntypedServiceImplementation => ({
	session(stream: ServerDuplexStream<SessionReport, SessionUpdate>) {
		let isOpen = true;
		const end = (): void => {
			isOpen = false;
			stream.end();
		};

		stream.on('data', async () => {
			const leaderAddress = await finder.find();
			if (isOpen) {
				// Without a leader, followers should try another controller at once, as this one has just asked all controllers that it knows.
				stream.write(create(SessionUpdateSchema, {isCurrent: false, leaderAddress, isOutside: leaderAddress === ''}));
			}
		});
		stream.on('end', end);
		stream.on('error', end);
		stream.on('cancelled', end);
	},
	async execute(_call: unknown, reply: sendUnaryData<unknown>) {
		reply(null, create(ExecuteReplySchema, {...REFUSAL, leaderAddress: await finder.find()}));
	},
	async query(_call: unknown, reply: sendUnaryData<unknown>) {
		reply(null, create(QueryReplySchema, {...REFUSAL, leaderAddress: await finder.find()}));
	},
	async claim(_call: unknown, reply: sendUnaryData<unknown>) {
		reply(null, create(ClaimReplySchema, {code: REFUSAL.code, leaderAddress: await finder.find()}));
	},
});
