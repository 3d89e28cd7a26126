export type {ResponseDefectValue} from './response-defect-value.js';
export type {ResponseFramingValue} from './response-framing-value.js';
export {RESPONSE_DEFECT} from './response-defect.js';
export {RESPONSE_FRAMING} from './response-framing.js';
export {EventSplitter} from './event-splitter.js';
export {ReceivedResponse} from './received-response.js';
export {getResponseDefect} from './get-response-defect.js';
export {getResponseFraming} from './get-response-framing.js';
export {isEventStream} from './is-event-stream.js';
