import type {PlacementState} from './placement-state.js';

const BYTES_PER_GIB = 2 ** 30;

/** The weight of the newest load in the exponential moving average of the load speed. */
const SMOOTHING_FACTOR = 0.3;

/** Removes a load that has ended and, if it succeeded, updates the measured load speed of its source. */
export const mutateLoadEnd = (state: PlacementState, loadKey: string, memoryBytes: number, isReady: boolean, now: number): void => {
	const load = state.loads.get(loadKey);
	state.loads.delete(loadKey);
	if (!load || !isReady || memoryBytes === 0) {
		return;
	}

	const msPerGib = (now - load.startedAt) * BYTES_PER_GIB / memoryBytes;
	if (load.isFromStore) {
		state.storeMsPerGib += (msPerGib - state.storeMsPerGib) * SMOOTHING_FACTOR;
	} else {
		state.diskMsPerGib += (msPerGib - state.diskMsPerGib) * SMOOTHING_FACTOR;
	}
};
