import type {AdmissionState} from './admission-state.js';
import type {TargetDemand} from './target-demand.js';

/** Returns the demand for each target that has waiting requests or new arrivals, and resets the counts of arrivals. */
export const mutateTargetDemands = (state: AdmissionState, now: number): TargetDemand[] => {
	const targets = new Set([...state.queues.keys(), ...state.arrivals.keys()]);
	const demands = [...targets].map(target => {
		const queue = state.queues.get(target) ?? [];
		return {
			target,
			waiting: queue.length,
			weight: queue.reduce((sum, record) => sum + record.request.classWeight, 0),
			mostRemainingMs: Math.max(0, ...queue.map(record => record.request.deadlineAt - now)),
			arrivals: state.arrivals.get(target) ?? 0,
		};
	});
	state.arrivals.clear();
	return demands;
};
