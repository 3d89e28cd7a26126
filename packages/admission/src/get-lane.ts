import type {AdmissionLane} from './admission-lane.js';
import type {AdmissionState} from './admission-state.js';

/** Returns the state kept about a VM and creates it on first use. */
export const getLane = (state: AdmissionState, vm: string): AdmissionLane => {
	const known = state.lanes.get(vm);
	if (known) {
		return known;
	}

	const lane: AdmissionLane = {
		credits: [],
		isDirect: false,
		wanted: 0,
		lastUsedAt: Number.NEGATIVE_INFINITY,
		inProgress: 0,
		unansweredSince: undefined,
		unstartedAt: undefined,
		failures: 0,
		ejections: 0,
		ejectedUntil: 0,
		classUses: new Map(),
		avoided: new Map(),
	};
	state.lanes.set(vm, lane);
	return lane;
};
