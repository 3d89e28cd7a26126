import type {LeaseCandidate} from './lease-candidate.js';

/** The engines that currently announce themselves, and the processes that can hold leases for them. */
export type LeaseParticipants = {
	readonly addresses: ReadonlySet<string>;
	readonly candidates: readonly LeaseCandidate[];
};
