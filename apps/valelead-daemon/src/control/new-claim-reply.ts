import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {RESULT_CODE} from '@valelead/common';
import {type ClaimReply, ClaimReplySchema} from '@valelead/protocol';
import type {ClaimResult} from '@valelead/intent';

/** The reply to an entry about a claim. */
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
