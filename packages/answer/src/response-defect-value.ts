import type {RESPONSE_DEFECT} from './response-defect.js';

/** A reason why a response is incomplete. */
export type ResponseDefectValue = (typeof RESPONSE_DEFECT)[keyof typeof RESPONSE_DEFECT];
