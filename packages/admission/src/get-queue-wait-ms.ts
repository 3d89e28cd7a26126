import {getDispatchIntervalMs} from './get-dispatch-interval-ms.js';
import type {AdmissionState} from './admission-state.js';

/** Returns the expected wait of a request that joins a target's queue now, in milliseconds; 0 if there are too few samples for an estimate. */
export const getQueueWaitMs = (state: AdmissionState, target: string): number => getDispatchIntervalMs(state, target) * (state.queues.get(target)?.length ?? 0);
