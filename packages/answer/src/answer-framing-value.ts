import type {ANSWER_FRAMING} from './answer-framing.js';

/** The way in which a response's body is delimited; one of the values of `ANSWER_FRAMING`. */
export type AnswerFramingValue = (typeof ANSWER_FRAMING)[keyof typeof ANSWER_FRAMING];
