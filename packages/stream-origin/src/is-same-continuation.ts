import {canContinue} from './can-continue.js';
import type {StreamOrigin} from './stream-origin.js';

/** True if the same upstreams may continue the streams of both origins. */
export const isSameContinuation = (left: StreamOrigin, right: StreamOrigin): boolean => canContinue(left, {...right, id: right.runId});
