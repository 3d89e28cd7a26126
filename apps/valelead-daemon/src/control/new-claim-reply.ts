import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {RESULT_CODE} from '@valelead/common';
import {type ClaimReply, ClaimReplySchema} from '@valelead/protocol';
import type {ClaimResult} from '@valelead/intent';

/** Encodes the result of a claim command as the reply to the entry that sent it. */
export const newClaimReply = (result: ClaimResult): ClaimReply => {
	const reply = create(ClaimReplySchema, {code: RESULT_CODE.Ok, kind: result.kind});
	if (result.kind === 'running') {
		reply.isOverdue = result.isOverdue;
	}

	if (result.kind !== 'settled' || !result.claim.answer) {
		return reply;
	}

	const {outcome, status, contentType, body} = result.claim.answer;
	return create(ClaimReplySchema, {
		code: RESULT_CODE.Ok,
		kind: result.kind,
		settlement: {
			outcome, status, contentType, body: Buffer.from(body ?? '', 'base64'), hasBody: body !== undefined,
		},
	});
};
