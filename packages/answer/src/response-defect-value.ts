import type {ANSWER_DEFECT} from './answer-defect.js';

/** A reason why a response is incomplete; one of the values of `ANSWER_DEFECT`. */
export type ResponseDefectValue = (typeof ANSWER_DEFECT)[keyof typeof ANSWER_DEFECT];
