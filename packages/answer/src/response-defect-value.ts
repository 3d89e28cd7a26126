import type {ANSWER_DEFECT} from './answer-defect.js';

/** A reason why a response is incomplete. */
export type ResponseDefectValue = (typeof ANSWER_DEFECT)[keyof typeof ANSWER_DEFECT];
