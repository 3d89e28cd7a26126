import type {ANSWER_DEFECT} from './answer-defect.js';

/** One of the reasons why an answer is not whole. */
export type AnswerDefectValue = (typeof ANSWER_DEFECT)[keyof typeof ANSWER_DEFECT];
