export type {ResponseDefectValue} from './response-defect-value.js';
export type {AnswerFramingValue} from './answer-framing-value.js';
export {ANSWER_DEFECT} from './answer-defect.js';
export {RESPONSE_FRAMING} from './response-framing.js';
export {EventSplitter} from './event-splitter.js';
export {ReceivedAnswer} from './received-answer.js';
export {getResponseDefect} from './get-response-defect.js';
export {getAnswerFraming} from './get-answer-framing.js';
export {isEventStream} from './is-event-stream.js';
