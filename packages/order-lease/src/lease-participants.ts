import type {LeaseCandidate} from './lease-candidate.js';

/** The engines that announce themselves, and the processes that could give them orders. */
export type LeaseParticipants = {
	readonly addresses: ReadonlySet<string>;
	readonly candidates: readonly LeaseCandidate[];
};
