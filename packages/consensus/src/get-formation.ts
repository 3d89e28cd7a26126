import type {FormationDecision} from './formation-decision.js';
import type {FoundVoter} from './found-voter.js';
import type {Voter} from './voter.js';

/**
 * Decides how a voter with an empty disk starts. A quorum is formed only when every configured
 * voter is reached and none has one, so a lost disk never leads to a second quorum. A voter that a
 * formed quorum does not know joins it under its new identity. Controllers without a disk are reached
 * as the others are, and get no vote: what they hold ends with their process.
 */
export const getFormation = (self: Voter, expectedCount: number, peers: readonly FoundVoter[]): FormationDecision => {
	const formed = peers.find(peer => peer.isFormed);
	if (formed) {
		const isMember = formed.formation.some(voter => voter.id === self.id);
		return isMember ? {kind: 'form', voters: formed.formation} : {kind: 'join'};
	}

	if (peers.length + 1 < expectedCount) {
		return {kind: 'wait'};
	}

	const voters = [self, ...peers.filter(peer => peer.canVote).map(peer => peer.voter)].sort((left, right) => left.vm < right.vm ? -1 : 1);
	return {kind: 'form', voters};
};
