import {getLane} from './get-lane.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionState} from './admission-state.js';

/** The time after the last dispatch to a VM for which the entry keeps asking its agent for one credit in advance, in milliseconds. */
const WARM_LANE_MS = 10_000;

/** Returns requests for credits to all agents for which the number of wanted credits has changed. */
export const newCreditRequests = (state: AdmissionState, now: number): AdmissionEffect[] => {
	const wanted = new Map<string, number>();
	for (const [target, queue] of state.queues) {
		for (const endpoint of state.endpoints.get(target) ?? []) {
			if (endpoint.concurrencyLimit !== undefined) {
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
