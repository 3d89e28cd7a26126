import {RESULT_DETAILS, type ResultCodeValue} from '@valelead/common';
import type {ControlResponse} from './control-response.js';

/** A refusal of the control interface, with its result code. */
export const newRefusal = (code: ResultCodeValue, message: string): ControlResponse => ({status: RESULT_DETAILS[code].status, body: JSON.stringify({code, message})});
