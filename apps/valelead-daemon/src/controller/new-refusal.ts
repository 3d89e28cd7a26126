import {RESULT_DETAILS, type ResultCodeValue} from '@valelead/common';
import type {ControlResponse} from './control-response.js';

/** Creates the response with which the control interface refuses a call; it carries the result code and its HTTP status. */
export const newRefusal = (code: ResultCodeValue, message: string): ControlResponse => ({status: RESULT_DETAILS[code].status, body: JSON.stringify({code, message})});
