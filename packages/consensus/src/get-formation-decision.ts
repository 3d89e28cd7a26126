import type {FormationDecision} from './formation-decision.js';
import type {DiscoveredVoter} from './discovered-voter.js';
import type {Voter} from './voter.js';

const getProposal = (self: Voter, peers: readonly DiscoveredVoter[]): Voter[] => [self, ...peers.filter(peer => peer.canVote).map(peer => peer.voter)]
	.sort((left, right) => left.vm < right.vm ? -1 : 1);

const isSameProposal = (peers: readonly DiscoveredVoter[], ids: readonly string[]): boolean => peers
	.filter(peer => peer.canVote)
	.every(({proposal}) => proposal.length === ids.length && proposal.every((id, index) => id === ids[index]));

/**
 * Decides how a voter with an empty disk starts. A new quorum is formed only if every configured controller was reached, none of them belongs to a
 * quorum, and all would form the same one, so that a lost disk never leads to a second quorum. A voter that an existing quorum does not know joins
 * it under its new identity. Controllers without a disk have to be reached too, but get no vote, because their state is lost when their process
 * ends.
 *
 * Two quorums cannot form: a voter with an intact disk would have to belong to both, and to have proposed first the one set of voters and then the
 * other. A new identity never changes back to an old one and each round of queries begins after the previous one has ended, so a voter never
 * returns to an earlier proposal; and once it belongs to a quorum it reports that quorum.
 * @param expectedCount - Number of configured controllers, including this voter.
 * @param peers - The answers of the controllers that were reached in this round.
 */
export const getFormationDecision = (self: Voter, expectedCount: number, peers: readonly DiscoveredVoter[]): FormationDecision => {
	// A peer that is joining and knows no voters yet cannot tell whether this voter is one of them.
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
