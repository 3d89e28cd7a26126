import {getQueueWaitMs} from './get-queue-wait-ms.js';
import type {AdmissionState} from './admission-state.js';

const MAX_RETRY_AFTER_MS = 60_000;

/** When a refused caller should come back, in milliseconds: once the present queue is served. */
export const getRetryAfterMs = (state: AdmissionState, target: string): number => Math.min(MAX_RETRY_AFTER_MS, Math.max(state.minRetryAfterMs, getQueueWaitMs(state, target)));
