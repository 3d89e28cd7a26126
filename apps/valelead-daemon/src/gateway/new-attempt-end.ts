import type {OutcomeValue, ResultCodeValue} from '@valelead/common';
import {SUSPECT_PHASE} from '@valelead/quarantine';
import {CONNECTION_END} from './connection-end.js';
import type {AttemptEnd} from './attempt-end.js';

/** Returns the failure of an attempt whose connection still works and of which no response body has been forwarded. */
export const newAttemptEnd = (code: ResultCodeValue, outcome: OutcomeValue, reason: string): AttemptEnd => ({
	code, outcome, reason, connection: CONNECTION_END.Intact, phase: SUSPECT_PHASE.Unanswered,
});
