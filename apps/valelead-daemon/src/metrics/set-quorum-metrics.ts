import {type QuorumView, getToleratedLosses} from '@valelead/consensus';
import type {Metrics} from './metrics.js';

/** Shows what a voter knows of its quorum, and what the settings ask of it. */
export const setQuorumMetrics = (metrics: Metrics, view: QuorumView | undefined, faultTolerance: number): void => {
	const voterCount = view?.voters.length ?? 0;
	metrics.voters.set(voterCount);
	metrics.heardVoters.set(view?.reachable.length ?? 0);
	metrics.borneLosses.set(getToleratedLosses(voterCount));
	metrics.faultTolerance.set(faultTolerance);
};
