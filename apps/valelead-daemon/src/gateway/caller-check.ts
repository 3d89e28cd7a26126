import type {ResultCodeValue} from '@valelead/common';
import type {Caller} from './caller.js';

/** The result of authenticating a request: the caller, or the code with which the request is refused. */
export type CallerCheck =
	| {readonly kind: 'known'; readonly caller: Caller}
	| {readonly kind: 'refused'; readonly code: ResultCodeValue};
