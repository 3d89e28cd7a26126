import type {RESULT_CODE} from './result-code.js';

/** The numeric value of a result code. */
export type ResultCodeValue = (typeof RESULT_CODE)[keyof typeof RESULT_CODE];
