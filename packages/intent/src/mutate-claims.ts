import {OUTCOME} from '@valelead/common';
import {getClaimKey} from './get-claim-key.js';
import type {ClaimCommand} from './claim-command.js';
import type {ClaimResult} from './claim-result.js';
import type {Claims} from './claims.js';

/** How long a claim is kept after the deadline of its request. A request that is resent within this time is never run again. */
const CLAIM_RETENTION_MS = 86_400_000;

const mutateExpiredClaims = (claims: Claims, at: number): void => {
	for (const [key, claim] of claims) {
		if (claim.deadlineAt + CLAIM_RETENTION_MS > at) {
			break;
		}

		claims.delete(key);
	}
};

const mutateClaimed = (claims: Claims, at: number, command: Extract<ClaimCommand, {kind: 'claim'}>): ClaimResult => {
	const key = getClaimKey(command.team, command.key);
	const claim = claims.get(key);
	if (!claim) {
		claims.set(key, {
			team: command.team,
			key: command.key,
			requestHash: command.requestHash,
			deadlineAt: at + command.lifetimeMs,
			owner: command.owner,
			answer: undefined,
		});
		return {kind: 'claimed'};
	}

	if (claim.owner === command.owner && !claim.answer) {
		return {kind: 'claimed'};
	}

	if (claim.requestHash !== command.requestHash) {
		return {kind: 'mismatch'};
	}

	return claim.answer ? {kind: 'settled', claim} : {kind: 'running', claim, isOverdue: at > claim.deadlineAt};
};

const mutateSettledClaim = (claims: Claims, command: Extract<ClaimCommand, {kind: 'settle'}>): ClaimResult => {
	const key = getClaimKey(command.team, command.key);
	const claim = claims.get(key);
	if (claim?.owner !== command.owner || claim.answer) {
		return {kind: 'lost'};
	}

	if (command.answer.outcome === OUTCOME.NotRun) {
		claims.delete(key);
		return {kind: 'claimed'};
	}

	const settled = {...claim, answer: command.answer};
	claims.set(key, settled);
	return {kind: 'settled', claim: settled};
};

/**
 * Removes expired claims and applies a claim command.
 * @param at - The leader's wall-clock time, in Unix milliseconds.
 */
export const mutateClaims = (claims: Claims, at: number, command: ClaimCommand): ClaimResult => {
	mutateExpiredClaims(claims, at);
	return command.kind === 'claim' ? mutateClaimed(claims, at, command) : mutateSettledClaim(claims, command);
};
