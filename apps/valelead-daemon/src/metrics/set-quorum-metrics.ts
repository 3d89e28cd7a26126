import {type QuorumView, getToleratedLosses} from '@valelead/consensus';
import type {Metrics} from './metrics.js';

/** Sets the metrics of a voter's view of its quorum and of the fault tolerance in the settings. */
export const setQuorumMetrics = (metrics: Metrics, view: QuorumView | undefined, faultTolerance: number): void => {
	const voterCount = view?.voters.length ?? 0;
	metrics.voters.set(voterCount);
	metrics.reachableVoters.set(view?.reachable.length ?? 0);
	metrics.toleratedLosses.set(getToleratedLosses(voterCount));
	metrics.faultTolerance.set(faultTolerance);
};
