import {OUTCOME, type OutcomeValue} from '@valelead/common';
import type {AgentState} from './agent-state.js';

/**
 * What became of an attempt whose answer was lost. If it was never accepted, its credit is withdrawn,
 * so that the word "not run" stays true when the dispatch arrives late.
 */
export const mutateWithdrawn = (state: AgentState, attemptId: string, creditId: string): OutcomeValue => {
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
