import {Buffer} from 'node:buffer';
import {
	OUTCOME, type OutcomeValue, RESULT_CODE, ValeleadError,
} from '@valelead/common';
import type {ClaimCommand} from '@valelead/intent';
import type {ClaimRequest} from '@valelead/protocol';

const OUTCOMES: ReadonlySet<string> = new Set(Object.values(OUTCOME));

/** Decodes an entry's claim request into the command that is committed. Throws an InvalidCommand error if the request has no valid step. */
export const toClaimCommand = (request: ClaimRequest): ClaimCommand => {
	const {team, key, owner, step} = request;
	if (step.case === 'start') {
		return {
			kind: 'claim', team, key, owner, requestHash: step.value.requestHash, lifetimeMs: step.value.lifetimeMs,
		};
	}

	if (step.case !== 'settlement' || !OUTCOMES.has(step.value.outcome)) {
		throw new ValeleadError('The claim has no valid step', {code: RESULT_CODE.InvalidCommand});
	}

	const {outcome, status, contentType, body, hasBody} = step.value;
	return {
		kind: 'settle',
		team,
		key,
		owner,
		answer: {
			outcome: outcome as OutcomeValue, status, contentType, ...(hasBody && {body: Buffer.from(body).toString('base64')}),
		},
	};
};
