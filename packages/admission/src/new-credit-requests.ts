import {getLane} from './get-lane.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionState} from './admission-state.js';

/** A lane that was used within this time keeps a credit in advance, in milliseconds. */
const WARM_LANE_MS = 10_000;

/** Tells the agents how many requests wait for them, where that changed. */
export const newCreditRequests = (state: AdmissionState, now: number): AdmissionEffect[] => {
	const wanted = new Map<string, number>();
	for (const [target, queue] of state.queues) {
		for (const endpoint of state.endpoints.get(target) ?? []) {
			if (endpoint.places !== undefined) {
				continue;
			}

			wanted.set(endpoint.vm, (wanted.get(endpoint.vm) ?? 0) + queue.length);
		}
	}

	const effects: AdmissionEffect[] = [];
	for (const vm of new Set([...wanted.keys(), ...state.lanes.keys()])) {
		const lane = getLane(state, vm);
		if (lane.isDirect) {
			continue;
		}

		const isWarm = now - lane.lastUsedAt < WARM_LANE_MS;
		const count = wanted.get(vm) ?? (isWarm ? 1 : 0);
		if (count !== lane.wanted) {
			lane.wanted = count;
			effects.push({kind: 'want', vm, wanted: count});
		}
	}

	return effects;
};
