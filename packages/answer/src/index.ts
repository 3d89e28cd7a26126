export type {AnswerFramingValue} from './answer-framing-value.js';
export {ANSWER_FRAMING} from './answer-framing.js';
export {getAnswerFraming} from './get-answer-framing.js';
