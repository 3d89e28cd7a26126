import type {AdmissionState} from './admission-state.js';

/** Returns the number of waiting requests for which an upstream has places now. */
export const getAcceptableCount = (state: AdmissionState, vm: string): number => {
	const inProgress = state.lanes.get(vm)?.inProgress ?? 0;
	let count = 0;
	for (const [target, queue] of state.queues) {
		const endpoint = state.endpoints.get(target)?.find(other => other.vm === vm);
		const places = endpoint ? (endpoint.concurrencyLimit ?? 0) - inProgress : 0;
		count += Math.min(queue.length, Math.max(0, places));
	}

	return count;
};
