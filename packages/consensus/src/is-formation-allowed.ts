import type {DiscoveredVoter} from './discovered-voter.js';
import type {FormationDecision} from './formation-decision.js';

type FormationContext = {
	/** The answers of the controllers that were reached in this round. */
	readonly peers: readonly DiscoveredVoter[];
	/** True during the first start of the installation. */
	readonly isFirstStart: boolean;
	/** Addresses of the controllers in the present settings. */
	readonly configured: readonly string[];
	/** Addresses of the controllers in the settings of the first start; empty if the voter got its identity later. */
	readonly founders: readonly string[];
	/** Address of the voter. */
	readonly address: string;
};

const isSameSet = (left: readonly string[], right: readonly string[]): boolean => left.length === right.length && left.every(item => right.includes(item));

/**
 * Returns true if a decision may be carried out. A new quorum is formed only by configured voters at the first start of the installation, or after it by the same
 * voters if all of them have kept their disks and none belongs to a quorum: they have been stopped before they could form it. A voter with a lost disk cannot
 * tell whether a quorum existed, so the others do not form one with it.
 */
export const isFormationAllowed = (decision: FormationDecision, {peers, isFirstStart, configured, founders, address}: FormationContext): boolean => {
	if (decision.kind === 'join' || peers.some(peer => peer.isFormed)) {
		return true;
	}

	const isStillFirst = isSameSet(configured, founders) && peers.every(peer => peer.isFounder || !peer.canVote);
	return configured.includes(address) && (isFirstStart || isStillFirst);
};
