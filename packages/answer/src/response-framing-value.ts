import type {RESPONSE_FRAMING} from './response-framing.js';

/** The way in which a response's body is delimited. */
export type ResponseFramingValue = (typeof RESPONSE_FRAMING)[keyof typeof RESPONSE_FRAMING];
