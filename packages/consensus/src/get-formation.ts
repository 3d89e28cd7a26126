import type {FormationDecision} from './formation-decision.js';
import type {FoundVoter} from './found-voter.js';
import type {Voter} from './voter.js';

const getProposal = (self: Voter, peers: readonly FoundVoter[]): Voter[] => [self, ...peers.filter(peer => peer.canVote).map(peer => peer.voter)]
	.sort((left, right) => left.vm < right.vm ? -1 : 1);

const isSameProposal = (peers: readonly FoundVoter[], ids: readonly string[]): boolean => peers
	.filter(peer => peer.canVote)
	.every(({proposal}) => proposal.length === ids.length && proposal.every((id, index) => id === ids[index]));

/**
 * Decides how a voter with an empty disk starts. A quorum is formed only when every configured voter is reached, none has one, and all would form the
 * same one, so a lost disk never leads to a second quorum. A voter that a formed quorum does not know joins it under its new identity. Controllers without a
 * disk are reached as the others are, and get no vote: what they hold ends with their process.
 *
 * Two quorums would need a voter that is in both, with its disk whole, and that told first the one set and then the other. Identities change in one
 * direction only and each look begins after the one before, so what a voter tells never goes back; and once it belongs to a quorum it tells of that one.
 */
export const getFormation = (self: Voter, expectedCount: number, peers: readonly FoundVoter[]): FormationDecision => {
	// One that joins and knows no voters yet cannot say whether this voter is one of them.
	const formed = peers.filter(peer => peer.isFormed && peer.formation.length > 0);
	const own = formed.find(peer => peer.formation.some(voter => voter.id === self.id));
	if (own) {
		return {kind: 'form', voters: own.formation};
	}

	if (formed.length > 0) {
		return {kind: 'join'};
	}

	if (peers.length + 1 < expectedCount || peers.some(peer => peer.isFormed)) {
		return {kind: 'wait', proposal: []};
	}

	const voters = getProposal(self, peers);
	const ids = voters.map(voter => voter.id);
	return isSameProposal(peers, ids) ? {kind: 'form', voters} : {kind: 'wait', proposal: ids};
};
