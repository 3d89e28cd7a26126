import {OUTCOME, type OutcomeValue} from '@valelead/common';
import type {AgentState} from './agent-state.js';

/**
 * Returns the outcome of an attempt whose response was lost. If the agent has not accepted the attempt, its credit is withdrawn: a dispatch that
 * arrives late is then refused, so that the outcome "not run" stays true.
 */
export const mutateWithdrawnAttempt = (state: AgentState, attemptId: string, creditId: string): OutcomeValue => {
	const attempt = state.attempts.get(attemptId);
	if (attempt) {
		return attempt.isEnded ? OUTCOME.Ran : OUTCOME.Unknown;
	}

	const credit = state.credits.get(creditId);
	state.credits.delete(creditId);
	if (credit) {
		state.lanes.get(credit.entry)?.credits.delete(creditId);
		return OUTCOME.NotRun;
	}

	return OUTCOME.Unknown;
};
