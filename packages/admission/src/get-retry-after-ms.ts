import {getQueueWaitMs} from './get-queue-wait-ms.js';
import type {AdmissionState} from './admission-state.js';

const MAX_RETRY_AFTER_MS = 60_000;

/** Returns the Retry-After time of a refusal, in milliseconds: the expected time until the target's present queue is served, within bounds. */
export const getRetryAfterMs = (state: AdmissionState, target: string): number => Math.min(MAX_RETRY_AFTER_MS, Math.max(state.minRetryAfterMs, getQueueWaitMs(state, target)));
