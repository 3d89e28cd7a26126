import type {OutcomeValue, ResultCodeValue} from '@valelead/common';
import {SUSPECT_PHASE} from '@valelead/quarantine';
import {CONNECTION_STATE} from './connection-state.js';
import type {AttemptFailure} from './attempt-failure.js';

/** Returns the failure of an attempt whose connection still works and of which no response body has been forwarded. */
export const newAttemptFailure = (code: ResultCodeValue, outcome: OutcomeValue, reason: string): AttemptFailure => ({
	code, outcome, reason, connection: CONNECTION_STATE.Intact, phase: SUSPECT_PHASE.Unanswered,
});
