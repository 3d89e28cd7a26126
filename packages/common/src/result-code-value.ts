import type {RESULT_CODE} from './result-code.js';

/** The number of a result code. */
export type ResultCodeValue = (typeof RESULT_CODE)[keyof typeof RESULT_CODE];
