import type {PlacementState} from './placement-state.js';

const BYTES_PER_GIB = 2 ** 30;

/** Weight of the newest load in the measured speed. */
const SMOOTHING_FACTOR = 0.3;

/** Notes that a load ended and how fast it was; a load that failed only ends. */
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
