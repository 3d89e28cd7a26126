import type {ANSWER_FRAMING} from './answer-framing.js';

/** One of the ways in which the end of an answer's body is known. */
export type AnswerFramingValue = (typeof ANSWER_FRAMING)[keyof typeof ANSWER_FRAMING];
