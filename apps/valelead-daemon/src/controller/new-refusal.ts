import {RESULT_DETAILS, type ResultCodeValue} from '@valelead/common';
import type {ControlReply} from './control-reply.js';

/** A refusal of the control interface, with its result code. */
export const newRefusal = (code: ResultCodeValue, message: string): ControlReply => ({status: RESULT_DETAILS[code].status, body: JSON.stringify({code, message})});
